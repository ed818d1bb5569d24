#include "base/codec.h"

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

/** Checks syntax, nesting and number of values of a document without building a value. */
class NestingGuard : public nlohmann::json_sax<Json>
{
public:
    explicit NestingGuard(std::size_t maxValues)
        : m_valuesLeft(maxValues)
    {
    }
    bool null() override
    {
        return countValue();
    }
    bool boolean(bool /*value*/) override
    {
        return countValue();
    }
    bool number_integer(number_integer_t /*value*/) override
    {
        return countValue();
    }
    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return countValue();
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return countValue();
    }
    bool string(string_t & /*value*/) override
    {
        return countValue();
    }
    bool binary(binary_t & /*value*/) override
    {
        return countValue();
    }
    bool start_object(std::size_t /*elements*/) override
    {
        return ++m_depth <= MAX_NESTING && countValue();
    }
    bool key(string_t & /*value*/) override
    {
        return true;
    }
    bool end_object() override
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t /*elements*/) override
    {
        return ++m_depth <= MAX_NESTING && countValue();
    }
    bool end_array() override
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t position, const std::string & /*token*/, const nlohmann::detail::exception &e) override
    {
        m_message = "at byte " + std::to_string(position) + ": " + e.what();
        return false;
    }

    [[nodiscard]] std::string message() const
    {
        if (!m_message.empty()) {
            return m_message;
        }
        return m_tooMany ? "the document has too many values"
                         : "arrays and objects are nested more than 32 levels deep";
    }

private:
    bool countValue()
    {
        m_tooMany = m_valuesLeft == 0;
        m_valuesLeft -= m_tooMany ? 0 : 1;
        return !m_tooMany;
    }

    int m_depth = 0;
    std::size_t m_valuesLeft;
    bool m_tooMany = false;
    std::string m_message;
};

Result<Json> parse(std::string_view input, Json::input_format_t format, Comments comments,
                   std::size_t maxValues = std::numeric_limits<std::size_t>::max())
{
    const bool skipComments = comments == Comments::Allowed;
    NestingGuard guard(maxValues);
    if (!Json::sax_parse(input, &guard, format, true, skipComments)) {
        return Error {"malformed", guard.message(), ""};
    }
    if (format == Json::input_format_t::cbor) {
        return Json::from_cbor(input);
    }
    return Json::parse(input, nullptr, true, skipComments);
}

} // namespace

Result<Json> parseJson(std::string_view text, Comments comments)
{
    return parse(text, Json::input_format_t::json, comments);
}

Result<Json> parseCbor(std::string_view bytes, std::size_t maxValues)
{
    return parse(bytes, Json::input_format_t::cbor, Comments::Refused, maxValues);
}

std::string toCbor(const Json &value)
{
    std::string bytes;
    Json::to_cbor(value, bytes);
    return bytes;
}

std::string toJson(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

namespace Base64 = boost::beast::detail::base64;

std::string toBase64(std::string_view bytes)
{
    std::string text(Base64::encoded_size(bytes.size()), '\0');
    text.resize(Base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

Result<std::string> fromBase64(std::string_view text)
{
    const Error malformed {"malformed", "is not valid base64", ""};
    if (text.size() % 4 != 0) {
        return malformed;
    }
    std::string bytes(Base64::decoded_size(text.size()), '\0');
    const auto [written, read] = Base64::decode(bytes.data(), text.data(), text.size());
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    if (read + padding < text.size()) {
        return malformed;
    }
    bytes.resize(written);
    return bytes;
}

} // namespace Papaya
