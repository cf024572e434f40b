#include "xml.hpp"

#include <libxml/parser.h>
#include <libxml/tree.h>
#include <libxml/xmlschemas.h>

#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <sstream>

#include "read_file.hpp"

namespace paddlestand::config {
namespace {

const xmlChar* to_xml_text(const char* text) { return reinterpret_cast<const xmlChar*>(text); }
const char* to_text(const xmlChar* text) { return reinterpret_cast<const char*>(text); }
xmlNodePtr as_node(void* pointer) { return static_cast<xmlNodePtr>(pointer); }

template <typename T, void (*Free)(T*)>
struct Deleter {
  void operator()(T* pointer) const { Free(pointer); }
};
template <typename T, void (*Free)(T*)>
using XmlPointer = std::unique_ptr<T, Deleter<T, Free>>;

/// The first error that libxml2 reports.
struct XmlError {
  int line = 0;
  std::string message;
};

/// Records the first error only; later ones often follow from it. `context` is the XmlError.
void record_first_error(void* context, xmlErrorPtr error) {
  auto* first = static_cast<XmlError*>(context);
  if (!first->message.empty() || error == nullptr || error->message == nullptr) return;
  first->line = error->line;
  first->message = error->message;
  while (!first->message.empty() && (first->message.back() == '\n' || first->message.back() == ' '))
    first->message.pop_back();
  // Removes the namespaces, which libxml2 puts in braces before element names.
  for (auto begin = first->message.find('{'); begin != std::string::npos; begin = first->message.find('{')) {
    const auto end = first->message.find('}', begin);
    if (end == std::string::npos) break;
    first->message.erase(begin, end + 1 - begin);
  }
}

}  // namespace

void Document::Free::operator()(void* document) const { xmlFreeDoc(static_cast<xmlDocPtr>(document)); }

std::variant<Document, ConfigError> Document::read(const std::string& path, std::string_view schema) {
  const auto text = read_file(path, max_file_bytes);
  if (const auto* error = std::get_if<FileError>(&text)) {
    if (error->error_number == EFBIG)
      return ConfigError{path, 0, "is larger than " + std::to_string(max_file_bytes) + " bytes"};
    return ConfigError{path, 0, "cannot be read: " + std::string(std::strerror(error->error_number))};
  }
  return parse(std::get<std::string>(text), path, schema);
}

std::variant<Document, ConfigError> Document::parse(std::string_view text, const std::string& name,
                                                    std::string_view schema) {
  XmlError error;
  const XmlPointer<xmlParserCtxt, xmlFreeParserCtxt> parser(xmlNewParserCtxt());
  parser->sax->serror = [](void* context, xmlErrorPtr reported) {
    record_first_error(static_cast<xmlParserCtxtPtr>(context)->_private, reported);
  };
  parser->_private = &error;
  Document out;
  out.file_ = name;
  xmlDocPtr parsed = xmlCtxtReadMemory(parser.get(), text.data(), static_cast<int>(text.size()), name.c_str(),
                                       nullptr, XML_PARSE_NONET | XML_PARSE_NOBLANKS);
  out.document_.reset(parsed);
  if (parsed == nullptr || !error.message.empty()) {
    if (error.message.empty()) error.message = "is not an XML document";
    return ConfigError{name, error.line, error.message};
  }
  const XmlPointer<xmlSchemaParserCtxt, xmlSchemaFreeParserCtxt> schema_parser(
      xmlSchemaNewMemParserCtxt(schema.data(), static_cast<int>(schema.size())));
  xmlSchemaSetParserStructuredErrors(schema_parser.get(), record_first_error, &error);
  const XmlPointer<xmlSchema, xmlSchemaFree> compiled(xmlSchemaParse(schema_parser.get()));
  if (!compiled) return ConfigError{"built-in schema", error.line, error.message};
  const XmlPointer<xmlSchemaValidCtxt, xmlSchemaFreeValidCtxt> validator(
      xmlSchemaNewValidCtxt(compiled.get()));
  xmlSchemaSetValidOptions(validator.get(), XML_SCHEMA_VAL_VC_I_CREATE);  // defaults become attributes
  xmlSchemaSetValidStructuredErrors(validator.get(), record_first_error, &error);
  if (xmlSchemaValidateDoc(validator.get(), parsed) != 0) return ConfigError{name, error.line, error.message};
  return out;
}

Element Document::root() const {
  return Element(xmlDocGetRootElement(static_cast<xmlDocPtr>(document_.get())));
}

std::string Element::name() const { return to_text(as_node(node_)->name); }
int Element::line() const { return static_cast<int>(xmlGetLineNo(as_node(node_))); }

std::vector<Element> Element::children(std::string_view name) const {
  std::vector<Element> out;
  for (xmlNodePtr child = as_node(node_)->children; child != nullptr; child = child->next) {
    if (child->type == XML_ELEMENT_NODE && (name.empty() || name == to_text(child->name)))
      out.emplace_back(child);
  }
  return out;
}

std::optional<Element> Element::child(std::string_view name) const {
  const auto all = children(name);
  if (all.empty()) return std::nullopt;
  return all.front();
}

bool Element::has(const char* attribute) const {
  return xmlHasProp(as_node(node_), to_xml_text(attribute)) != nullptr;
}

std::string Element::text(const char* attribute) const {
  xmlChar* value = xmlGetProp(as_node(node_), to_xml_text(attribute));
  if (value == nullptr) return {};
  std::string out = to_text(value);
  xmlFree(value);
  return out;
}

double Element::number(const char* attribute) const {
  const std::string value = text(attribute);
  double out = 0;
  std::from_chars(value.data(), value.data() + value.size(), out);
  return std::isfinite(out) ? out : 0;
}

std::uint64_t Element::integer(const char* attribute) const {
  const std::string value = text(attribute);
  std::uint64_t out = 0;
  std::from_chars(value.data(), value.data() + value.size(), out);
  return out;
}

std::uint32_t Element::count(const char* attribute) const {
  return static_cast<std::uint32_t>(integer(attribute));
}

bool Element::flag(const char* attribute) const {
  const std::string value = text(attribute);
  return value == "true" || value == "1";
}

Duration parse_duration(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{}) return {};
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  const double ns_per_unit = unit == "us"    ? 1e3
                             : unit == "ms"  ? 1e6
                             : unit == "s"   ? 1e9
                             : unit == "min" ? 6e10
                                             : 0;
  return Duration{std::llround(value * ns_per_unit)};
}

Duration Element::time(const char* attribute) const { return parse_duration(text(attribute)); }

std::size_t Element::bytes(const char* attribute) const {
  const std::string value = text(attribute);
  std::size_t out = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), out);
  if (error != std::errc{}) return 0;
  const std::string_view unit(end);
  return out << (unit == "KiB" ? 10U : unit == "MiB" ? 20U : unit == "GiB" ? 30U : 0U);
}

std::vector<std::string> Element::words(const char* attribute) const {
  std::istringstream in(text(attribute));
  std::vector<std::string> out;
  for (std::string word; in >> word;) out.push_back(word);
  return out;
}

}  // namespace paddlestand::config
