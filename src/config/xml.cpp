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

const xmlChar* xml(const char* text) { return reinterpret_cast<const xmlChar*>(text); }
const char* plain(const xmlChar* text) { return reinterpret_cast<const char*>(text); }
xmlNodePtr node(void* pointer) { return static_cast<xmlNodePtr>(pointer); }

template <typename T, void (*Free)(T*)>
struct Freed {
  void operator()(T* pointer) const { Free(pointer); }
};
template <typename T, void (*Free)(T*)>
using Owned = std::unique_ptr<T, Freed<T, Free>>;

struct Complaint {
  int line = 0;
  std::string text;
};

// The first thing that is wrong; later ones often follow from it.
void complain(void* context, xmlErrorPtr error) {
  auto* first = static_cast<Complaint*>(context);
  if (!first->text.empty() || error == nullptr || error->message == nullptr) return;
  first->line = error->line;
  first->text = error->message;
  while (!first->text.empty() && (first->text.back() == '\n' || first->text.back() == ' '))
    first->text.pop_back();
  // Names of elements come with their namespace in braces: of no use to the reader.
  for (auto from = first->text.find('{'); from != std::string::npos; from = first->text.find('{')) {
    const auto to = first->text.find('}', from);
    if (to == std::string::npos) break;
    first->text.erase(from, to + 1 - from);
  }
}

}  // namespace

void Document::Free::operator()(void* document) const { xmlFreeDoc(static_cast<xmlDocPtr>(document)); }

std::variant<Document, Fault> Document::read(const std::string& path, std::string_view schema) {
  const auto text = read_file(path, max_file_bytes);
  if (const auto* error = std::get_if<FileError>(&text)) {
    if (error->error_number == EFBIG)
      return Fault{path, 0, "is larger than " + std::to_string(max_file_bytes) + " bytes"};
    return Fault{path, 0, "can't be read: " + std::string(std::strerror(error->error_number))};
  }
  return parse(std::get<std::string>(text), path, schema);
}

std::variant<Document, Fault> Document::parse(std::string_view text, const std::string& name,
                                              std::string_view schema) {
  Complaint complaint;
  const Owned<xmlParserCtxt, xmlFreeParserCtxt> parser(xmlNewParserCtxt());
  parser->sax->serror = [](void* context, xmlErrorPtr error) {
    complain(static_cast<xmlParserCtxtPtr>(context)->_private, error);
  };
  parser->_private = &complaint;
  Document out;
  out.file_ = name;
  xmlDocPtr read = xmlCtxtReadMemory(parser.get(), text.data(), static_cast<int>(text.size()), name.c_str(),
                                     nullptr, XML_PARSE_NONET | XML_PARSE_NOBLANKS);
  out.document_.reset(read);
  if (read == nullptr || !complaint.text.empty()) {
    if (complaint.text.empty()) complaint.text = "is no XML";
    return Fault{name, complaint.line, complaint.text};
  }
  const Owned<xmlSchemaParserCtxt, xmlSchemaFreeParserCtxt> schema_parser(
      xmlSchemaNewMemParserCtxt(schema.data(), static_cast<int>(schema.size())));
  xmlSchemaSetParserStructuredErrors(schema_parser.get(), complain, &complaint);
  const Owned<xmlSchema, xmlSchemaFree> compiled(xmlSchemaParse(schema_parser.get()));
  if (!compiled) return Fault{"built-in schema", complaint.line, complaint.text};
  const Owned<xmlSchemaValidCtxt, xmlSchemaFreeValidCtxt> validator(xmlSchemaNewValidCtxt(compiled.get()));
  xmlSchemaSetValidOptions(validator.get(), XML_SCHEMA_VAL_VC_I_CREATE);  // defaults become attributes
  xmlSchemaSetValidStructuredErrors(validator.get(), complain, &complaint);
  if (xmlSchemaValidateDoc(validator.get(), read) != 0) return Fault{name, complaint.line, complaint.text};
  return out;
}

Element Document::root() const {
  return Element(xmlDocGetRootElement(static_cast<xmlDocPtr>(document_.get())));
}

std::string Element::name() const { return plain(node(node_)->name); }
int Element::line() const { return static_cast<int>(xmlGetLineNo(node(node_))); }

std::vector<Element> Element::children(std::string_view name) const {
  std::vector<Element> out;
  for (xmlNodePtr child = node(node_)->children; child != nullptr; child = child->next) {
    if (child->type == XML_ELEMENT_NODE && (name.empty() || name == plain(child->name)))
      out.emplace_back(child);
  }
  return out;
}

std::optional<Element> Element::child(std::string_view name) const {
  const auto all = children(name);
  if (all.empty()) return std::nullopt;
  return all.front();
}

bool Element::has(const char* attribute) const { return xmlHasProp(node(node_), xml(attribute)) != nullptr; }

std::string Element::text(const char* attribute) const {
  xmlChar* value = xmlGetProp(node(node_), xml(attribute));
  if (value == nullptr) return {};
  std::string out = plain(value);
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

Duration read_time(std::string_view text) {
  double value = 0;
  const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (problem != std::errc{}) return {};
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  const double times = unit == "us" ? 1e3 : unit == "ms" ? 1e6 : unit == "s" ? 1e9 : unit == "min" ? 6e10 : 0;
  return Duration{std::llround(value * times)};
}

Duration Element::time(const char* attribute) const { return read_time(text(attribute)); }

std::size_t Element::bytes(const char* attribute) const {
  const std::string value = text(attribute);
  std::size_t out = 0;
  const auto [end, problem] = std::from_chars(value.data(), value.data() + value.size(), out);
  if (problem != std::errc{}) return 0;
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
