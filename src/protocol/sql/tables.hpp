/// The group of tables that a statement reads or writes: the number after the last underscore in a schema's
/// name, such as 17 in sales_17.orders. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace paddlestand::sql {

/// Returns the group if the statement names a table of one. Names in strings and comments do not count, nor
/// does the schema `staging`.
std::optional<std::uint32_t> table_group(std::string_view statement);

}  // namespace paddlestand::sql
