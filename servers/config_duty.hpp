#ifndef POLLENHAVEN_SERVERS_CONFIG_DUTY_HPP
#define POLLENHAVEN_SERVERS_CONFIG_DUTY_HPP

#include "servers/daemon_context.hpp"

#include <thread>

namespace pollenhaven
{

// Follows the operating document in the key-value service.
class config_duty
{
public:
    explicit config_duty(daemon_context& context);
    ~config_duty();
    config_duty(const config_duty&) = delete;
    config_duty& operator=(const config_duty&) = delete;

private:
    void run();
    void read_document();

    daemon_context& context_;
    std::thread thread_;
};

// Reads all sections of a region's operating document. Throws key_value_error.
std::vector<document_section> read_sections(const key_value_store& store,
                                            const std::string& region,
                                            store_revision& revision);

} // namespace pollenhaven

#endif
