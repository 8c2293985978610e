#include "main/control/options.hpp"

#include <tclap/CmdLine.h>

namespace pollenhaven::control
{

namespace
{

constexpr int default_max_tokens = 64;
constexpr int default_timeout_s = 10;

const char* const description =
    "Operators' and callers' command line of pollenhaven. Reports of a daemon (--daemon "
    "with its metrics address): status, endpoints, adapters, members, holders. The "
    "store's configuration (--store): config show, config check --file F, config diff "
    "--file F. A request (--daemon with a caller address): request --model "
    "base/adapter[@version] --prompt TEXT; entry names the address to use. explain "
    "REQUEST-ID --log FILE says from daemons' logs what became of a request. Examples: "
    "'pollenhavenctl holders --daemon 127.0.0.1:9464'; 'pollenhavenctl config diff "
    "--store 127.0.0.1:8142 --file new.json'; 'pollenhavenctl explain 5f0c... --log "
    "daemon-1.log --log daemon-2.log'";

} // namespace

control_options parse_options(int count, char** arguments)
{
    TCLAP::CmdLine line(description, ' ', "0.1.0");
    line.setExceptionHandling(false);
    const TCLAP::ValueArg<std::string> daemon("d", "daemon", "A daemon's address.", false,
                                              "", "IP:PORT", line);
    const TCLAP::ValueArg<std::string> store("", "store", "The store's address.", false,
                                             "", "IP:PORT", line);
    const TCLAP::ValueArg<std::string> dialect(
        "", "dialect", "The module that speaks the platform's protocol.", false, "fleet",
        "NAME", line);
    const TCLAP::ValueArg<std::string> file("f", "file", "A file with a configuration.",
                                            false, "", "FILE", line);
    const TCLAP::ValueArg<std::string> host("", "host", "The host of a request's route.",
                                            false, "", "NAME", line);
    const TCLAP::ValueArg<std::string> model(
        "m", "model", "base/adapter[@version] for a request.", false, "", "MODEL", line);
    const TCLAP::ValueArg<std::string> prompt("p", "prompt", "What to ask.", false, "",
                                              "TEXT", line);
    const TCLAP::MultiArg<std::string> logs(
        "l", "log", "A daemon's log; repeat for more, - is standard input.", false,
        "FILE", line);
    const TCLAP::ValueArg<int> max_tokens("", "max-tokens", "Tokens to generate at most.",
                                          false, default_max_tokens, "N", line);
    const TCLAP::ValueArg<int> timeout("t", "timeout", "Seconds to wait at most.", false,
                                       default_timeout_s, "S", line);
    const TCLAP::SwitchArg json("j", "json", "Print JSON.", line);
    const TCLAP::SwitchArg stream("", "stream", "Follow the answer as it is made.", line);
    const TCLAP::UnlabeledMultiArg<std::string> words("command", "The command.", true,
                                                      "COMMAND", line);
    try
    {
        line.parse(count, arguments);
    }
    catch (const TCLAP::ArgException& error)
    {
        throw command_error(exit_code::bad_input, error.error() + " " + error.argId() +
                                                      "; see pollenhavenctl --help");
    }
    control_options parsed;
    parsed.arguments = words.getValue();
    parsed.daemon = daemon.getValue();
    parsed.store = store.getValue();
    parsed.dialect = dialect.getValue();
    parsed.file = file.getValue();
    parsed.host = host.getValue();
    parsed.model = model.getValue();
    parsed.prompt = prompt.getValue();
    parsed.logs = logs.getValue();
    parsed.max_tokens = max_tokens.getValue();
    parsed.timeout_s = timeout.getValue();
    parsed.json = json.getValue();
    parsed.stream = stream.getValue();
    return parsed;
}

} // namespace pollenhaven::control
