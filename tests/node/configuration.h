// A controller configuration as the platform writes it, for tests.
#pragma once

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "node/config.h"

namespace laureltide::node::tests {

inline const io::Address kListen{"127.0.0.1", 6565}, kBus{"127.0.0.1", 4222};

inline nlohmann::json settings() {
  const auto ms = [](double v) { return static_cast<std::int64_t>(v * 1e6); };
  const auto one = [&](const char* name, const char* semantics) {
    return nlohmann::json{{"name", name},           {"semantics", semantics}, {"group", "cell"},
                          {"give_up_ns", ms(1000)}, {"target_ns", ms(500)},   {"worth", 2.0},
                          {"late_worth", 0.2},      {"window_ns", ms(2000)}};
  };
  return {{"bounds",
           {{"attempts_cap", 4},
            {"dial_timeout_ns", ms(250)},
            {"keepalive_ns", ms(30000)},
            {"max_streams", 32},
            {"max_retry_after_ns", ms(1000)},
            {"may_cancel", true},
            {"may_duplicate", false},
            {"most_held", 500},
            {"peers", false},
            {"probes", true},
            {"retry_after", true}}},
          {"classes", {one("read", "repeatable"), one("update", "by_key"), one("release", "once")}},
          {"tenants",
           {{{"name", "harbour"}, {"quota_per_s", 100.0}, {"share", 0.6}},
            {{"name", "yard"}, {"quota_per_s", 60.0}, {"share", 0.4}}}},
          {"family_info",
           {{"idle_life_ns", ms(4000)},
            {"load_wait_ns", ms(4000)},
            {"load_window_ns", 0},
            {"load_floor", 0},
            {"loads_per_request", 0},
            {"miss_mode", "miss"},
            {"orders", true},
            {"ram_mb_by_kind", {4096.0}},
            {"says_company", true},
            {"tells_warm", false},
            {"report_x1", "loads under way or waiting"}}},
          {"kinds", {"std"}},
          {"rules",
           {{"cold_from", 0.3},
            {"cold_ns", ms(5000)},
            {"drain_grace_ns", ms(1000)},
            {"fall_multiple", 2.0},
            {"grace_to_answer_ns", ms(5)},
            {"overload_for_ns", ms(1000)}}},
          {"stats", {{"columns", {"cpu", "active", "x1"}}, {"how", "inline"}}},
          {"tick_ns", ms(1)},
          {"me", 0},
          {"replicas_of_me", 1},
          {"over_share_worth", 0.1},
          {"counted_by", "work"}};
}

inline nlohmann::json config(const std::string& known = R"({"offset":0,"batch":[]})",
                             const io::Address& bus = kBus) {
  return {{"name", "n0"},
          {"listen", kListen.text()},
          {"bus", bus.text()},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 0.5}, {"memory_mb", 32}, {"sockets", 256}}},
          {"known", nlohmann::json::parse(known)},
          {"settings", settings()}};
}

inline Config parsed(const nlohmann::json& doc) {
  std::string why;
  auto c = parse_config(doc.dump(), why);
  EXPECT_TRUE(c) << why;
  return c ? std::move(*c) : Config{};
}

}  // namespace laureltide::node::tests
