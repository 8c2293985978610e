#include "main/control/options.hpp"

#include <tclap/CmdLine.h>

namespace pollenhaven::control
{

namespace
{

constexpr int default_max_tokens = 64;
constexpr int default_timeout_s = 10;

const char* const description =
    "Command line tool for operators and callers of pollenhaven. Reports of a daemon "
    "(--daemon with its metrics address): status, endpoints, adapters, members, "
    "customers, holders. "
    "The configuration in the store (--store): config show, config check --file F, "
    "config diff --file F. Requests (--daemon with a caller address): request --model "
    "base/adapter[@version] --prompt TEXT; entry prints the address to send requests to. "
    "explain REQUEST-ID --log FILE prints from the daemons' logs how a request was "
    "handled and why it ended as it did. Examples: "
    "'pollenhavenctl holders --daemon 127.0.0.1:9464'; 'pollenhavenctl config diff "
    "--store 127.0.0.1:8142 --file new.json'; 'pollenhavenctl explain 5f0c... --log "
    "daemon-1.log --log daemon-2.log'";

} // namespace

control_options parse_options(int count, char** arguments)
{
    TCLAP::CmdLine command_line(description, ' ', "0.1.0");
    command_line.setExceptionHandling(false);
    const TCLAP::ValueArg<std::string> daemon("d", "daemon", "A daemon's address.", false,
                                              "", "IP:PORT", command_line);
    const TCLAP::ValueArg<std::string> store("", "store", "The store's address.", false,
                                             "", "IP:PORT", command_line);
    const TCLAP::ValueArg<std::string> dialect(
        "", "dialect", "The module that implements the platform's protocol.", false,
        "fleet", "NAME", command_line);
    const TCLAP::ValueArg<std::string> file("f", "file", "A configuration file.", false,
                                            "", "FILE", command_line);
    const TCLAP::ValueArg<std::string> host(
        "", "host", "The Host header field, which selects the route.", false, "", "NAME",
        command_line);
    const TCLAP::ValueArg<std::string> model("m", "model",
                                             "The model: base/adapter[@version].", false,
                                             "", "MODEL", command_line);
    const TCLAP::ValueArg<std::string> prompt("p", "prompt", "The user message.", false,
                                              "", "TEXT", command_line);
    const TCLAP::MultiArg<std::string> logs(
        "l", "log", "A daemon's log file; may be repeated, - is standard input.", false,
        "FILE", command_line);
    const TCLAP::ValueArg<int> max_tokens("", "max-tokens", "Maximum tokens to generate.",
                                          false, default_max_tokens, "N", command_line);
    const TCLAP::ValueArg<int> timeout("t", "timeout", "Maximum seconds to wait.", false,
                                       default_timeout_s, "S", command_line);
    const TCLAP::SwitchArg json("j", "json", "Print JSON.", command_line);
    const TCLAP::SwitchArg stream("", "stream", "Print the response as it is generated.",
                                  command_line);
    const TCLAP::UnlabeledMultiArg<std::string> words(
        "command", "The command and its arguments.", true, "COMMAND", command_line);
    try
    {
        command_line.parse(count, arguments);
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
