#include "policy/operating_document.hpp"

namespace pollenhaven
{

bool serves(const endpoint_entry& endpoint, const partner_id& partner)
{
    return endpoint.partners.empty() || endpoint.partners.count(partner) > 0;
}

} // namespace pollenhaven
