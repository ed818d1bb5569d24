#include "connection/requestparser.h"

namespace Papaya
{

namespace
{

constexpr std::size_t FIELD_OVERHEAD = 2 * sizeof(HttpField); // the array of fields has up to twice the capacity in use

} // namespace

void RequestParser::on_request_impl(boost::beast::http::verb /*verb*/, Text method, Text target, int version,
                                    ErrorCode & /*error*/)
{
    m_request.method.assign(method.data(), method.size());
    m_request.target.assign(target.data(), target.size());
    m_version = static_cast<unsigned>(version);
    m_fieldBytes += method.size() + target.size();
}

void RequestParser::on_field_impl(boost::beast::http::field /*field*/, Text name, Text value, ErrorCode & /*error*/)
{
    if (m_headerDone) {
        return; // a trailer field
    }
    m_request.fields.append({name.data(), name.size()}, {value.data(), value.size()});
    m_fieldBytes += FIELD_OVERHEAD + name.size() + value.size();
}

void RequestParser::on_header_impl(ErrorCode & /*error*/)
{
    m_headerDone = true;
}

std::size_t RequestParser::on_body_impl(Text part, ErrorCode & /*error*/)
{
    m_request.body.append(part.data(), part.size());
    return part.size();
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*remaining*/, Text part, ErrorCode &error)
{
    return on_body_impl(part, error);
}

} // namespace Papaya
