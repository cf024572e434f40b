/// Tags in a statement's comment, as SQLCommenter writes them: key='value',other='val%20ue' in a block
/// comment. Keys and values are URL-encoded, a quote inside is written \'. Comments that do not read as tags
/// are ignored. No I/O.
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

/// The tags of one comment's inside; empty where it holds none, or more than max allowed.
Tags read_tags(std::string_view comment);

}  // namespace paddlestand::sql
