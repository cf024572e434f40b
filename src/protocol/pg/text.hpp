/// Helpers for text from PostgreSQL's clients: conversion to lower case and UTF-8 validation.
#pragma once

#include <string>
#include <string_view>

namespace paddlestand::pg {

/// Converts ASCII letters to lower case.
[[nodiscard]] std::string to_lower(std::string_view text);

/// Whether the text is well-formed UTF-8 (RFC 3629): no overlong forms, no surrogates, nothing above
/// U+10FFFF.
[[nodiscard]] bool is_utf8(std::string_view text);

}  // namespace paddlestand::pg
