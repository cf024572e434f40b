/// Tags in a statement's comment in the format of SQLCommenter: key='value',other='val%20ue' in a block
/// comment. Keys and values are URL-encoded, and a quote inside a value is written \'. Comments in any other
/// format are ignored. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace paddlestand::sql {

using Tags = std::vector<std::pair<std::string, std::string>>;

inline constexpr std::size_t max_tags = 32;
inline constexpr std::size_t max_tag_bytes = 4096;

/// Reads the tags from one comment's contents. Returns none if it is not in this format or has more than
/// max_tags tags.
Tags read_tags(std::string_view comment);

}  // namespace paddlestand::sql
