#pragma once

#include "connection/http.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>

// Parses a request directly into HttpRequest and tells how much memory it takes. Beast's own parser allocates for each
// field and merges trailer fields into the header, so that neither can be bounded while a message is read.

namespace Papaya
{

/** Parser of one request. Chunk extensions and trailer fields are checked for syntax and discarded. */
class RequestParser : public boost::beast::http::basic_parser<true>
{
public:
    /** @return the parsed request, to be moved from once the parser is done. */
    [[nodiscard]] HttpRequest &request()
    {
        return m_request;
    }
    /** @return the HTTP version as 10 or 11. */
    [[nodiscard]] unsigned version() const
    {
        return m_version;
    }
    /** @return the memory that the request takes, in bytes, including the overhead of each field. */
    [[nodiscard]] std::size_t memoryBytes() const
    {
        return m_fieldBytes + m_request.body.capacity();
    }

private:
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb verb, Text method, Text target, int version, ErrorCode &) override;
    void on_response_impl(int, Text, int, ErrorCode &) override
    {
    }
    void on_field_impl(boost::beast::http::field, Text name, Text value, ErrorCode &) override;
    void on_header_impl(ErrorCode &) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &) override
    {
    }
    std::size_t on_body_impl(Text part, ErrorCode &) override;
    void on_chunk_header_impl(std::uint64_t, Text, ErrorCode &) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t, Text part, ErrorCode &) override;
    void on_finish_impl(ErrorCode &) override
    {
    }

    HttpRequest m_request;
    unsigned m_version = 11;
    std::size_t m_fieldBytes = 0;
    bool m_headerDone = false;
};

} // namespace Papaya
