#include "check/judge.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <set>
#include <sstream>

namespace laureltide::check {
namespace {

using nlohmann::json;

struct Attempt {
  double at = 0;
  std::string worker, from, life;
  int number = 0;
  std::optional<double> answered;
  std::string kind;
};

struct Call {
  std::string request_class, function;
  double sent = 0, patience = 0;
  bool wants_answer = true, confirmed = false, was_sent = false;
  std::vector<std::pair<double, std::string>> deliveries;  // time, receiving gateway
  bool expired = false;
  struct Answer {
    double at;
    std::string outcome, reason, id;
    double bytes = 0;
    bool same(const Answer& other) const {
      return !id.empty() && id == other.id && outcome == other.outcome && bytes == other.bytes;
    }
  };
  std::vector<Answer> answers;
  std::vector<Answer> again;  // answers to later requests with the same idempotency key
  std::vector<std::pair<double, std::string>> published;  // answers at the time that they left a gateway
  std::vector<Attempt> attempts;
  std::vector<std::pair<double, std::string>> ran;
  bool dropped = false;  // a worker dropped it as a duplicate
};

struct TimeSpan {
  double from, to;
};

std::string seconds(double t) {
  std::ostringstream out;
  out.precision(3);
  out << std::fixed << t << " s";
  return out.str();
}

class Judge {
 public:
  Judge(const Rules& rules, std::vector<json> recording) : rules_(rules), events_(std::move(recording)) {
    std::stable_sort(events_.begin(), events_.end(),
                     [](const json& a, const json& b) { return a.value("t", 0.0) < b.value("t", 0.0); });
    start_ = events_.empty() ? 0 : events_.front().value("t", 0.0);
  }

  Verdict run() {
    read();
    for (auto& [call_name, call] : calls_) {
      count(call_name, call);
      check_answers(call_name, call);
      check_effects(call_name, call);
    }
    check_drains();
    check_cold_workers();
    check_order_rate();
    std::stable_sort(verdict_.violations.begin(), verdict_.violations.end(),
                     [](const Violation& a, const Violation& b) { return a.rule < b.rule; });
    return std::move(verdict_);
  }

 private:
  double time(const json& e) const { return (e.value("t", 0.0) - start_) * 1e-9; }
  static std::string worker_of(const json& e) { return std::to_string(e.value("worker", 0)); }
  void report(int rule, std::string event) { verdict_.violations.push_back({rule, std::move(event)}); }

  void read() {
    // Aliases: the call id that a gateway returned to the client, which is the one that workers record.
    std::map<std::string, std::string> call_by_alias;
    for (const json& e : events_)
      if (e.value("e", "") == "named") call_by_alias[e.value("id", "")] = e.value("call", "");
    for (const json& e : events_) {
      const std::string event = e.value("e", "");
      const double t = time(e);
      std::string call_name = e.value("call", "");
      if (const auto alias = call_by_alias.find(call_name); alias != call_by_alias.end())
        call_name = alias->second;
      if (event == "sent") {
        Call& c = calls_[call_name];
        c.was_sent = true, c.sent = t, c.request_class = e.value("class", ""),
        c.function = e.value("function", "");
        c.patience = e.value("patience_ms", 0.0) / 1000, c.wants_answer = e.value("wants_answer", true);
      } else if (event == "confirmed") {
        calls_[call_name].confirmed = true;
      } else if (event == "delivered") {
        calls_[call_name].deliveries.emplace_back(t, e.value("to", ""));
        verdict_.redelivered += e.value("redelivered", false);
        taken_by_gateway_[e.value("to", "")].push_back(t);
      } else if (event == "expired") {
        calls_[call_name].expired = true;
      } else if (event == "answer") {
        calls_[call_name].answers.push_back(
            {t, e.value("outcome", ""), e.value("reason", ""), e.value("id", ""), e.value("bytes", 0.0)});
      } else if (event == "again") {
        calls_[call_name].again.push_back({t, e.value("outcome", ""), "", "", e.value("bytes", 0.0)});
        ++verdict_.asked_again;
      } else if (event == "published") {
        if (const std::string c = e.value("correlation", "");
            e.value("exchange", "").empty() && e.value("call", "").empty())
          calls_[c].published.emplace_back(t, e.value("by", ""));
      } else if (event == "call") {
        const std::string w = worker_of(e);
        calls_[call_name].attempts.push_back(
            {t, w, e.value("from", ""), e.value("life", ""), e.value("attempt", 0), {}, {}});
        arrivals_[w].push_back({t, e.value("from", ""),
                                rules_.class_of_function.count(e.value("function", ""))
                                    ? rules_.class_of_function.at(e.value("function", ""))
                                    : ""});
        ++verdict_.attempts;
      } else if (event == "answered") {
        auto& attempts = calls_[call_name].attempts;
        for (auto it = attempts.rbegin(); it != attempts.rend(); ++it)
          if (it->worker == worker_of(e) && it->number == e.value("attempt", 0) && !it->answered) {
            it->answered = t, it->kind = e.value("kind", "");
            break;
          }
      } else if (event == "ran") {
        calls_[call_name].ran.emplace_back(t, worker_of(e));
        ++verdict_.runs;
      } else if (event == "dropped") {
        calls_[call_name].dropped = true;
      } else if (event == "hold") {
        ++verdict_.holds;
        if (e.value("count", 0) > 0)
          holds_.push_back({t, e.value("from", ""), e.value("life", ""), worker_of(e)});
      } else if (event == "told") {
        const std::string to = e.value("to", "");
        std::set<std::string> named;
        for (const auto& [w, state] : e.at("states").items()) {
          reported_states_[{to, w}].emplace_back(t, state.get<std::string>());
          named.insert(w);
        }
        // A full worker list that omits a known worker reports it as gone.
        if (e.value("full", false))
          for (auto& [key, states] : reported_states_)
            if (key.first == to && !named.contains(key.second) && states.back().second != "gone")
              states.emplace_back(t, "gone");
        for (const auto& [w, started] : e.at("starts").items()) reported_starts_[{to, w}].push_back(t);
      } else if (event == "started" && e.value("cold", false)) {
        cold_starts_[worker_of(e)].push_back(t);
      } else if (event == "silent") {
        toggle_span(unresponsive_[worker_of(e)], e.value("on", false), t);
      } else if (event == "deaf") {
        toggle_span(broker_not_reading_, e.value("on", false), t);
      }
      last_ = t;
    }
  }
  static void toggle_span(std::vector<TimeSpan>& spans, bool on, double t) {
    if (on)
      spans.push_back({t, 1e18});
    else if (!spans.empty())
      spans.back().to = t;
  }
  // An unresponsive worker reads late, so the time that it records says nothing about the time of sending.
  bool read_late(const std::string& worker, double t) const {
    const auto it = unresponsive_.find(worker);
    return it != unresponsive_.end() &&
           std::any_of(it->second.begin(), it->second.end(),
                       [&](const TimeSpan& s) { return t >= s.from && t <= s.to + rules_.slack_s; });
  }

  const ClassRule& rule_of(const Call& c) const {
    static const ClassRule kDefault{"once", "all", 0, 0.05};
    const auto it = rules_.classes.find(c.request_class);
    return it == rules_.classes.end() ? kDefault : it->second;
  }

  void count(const std::string&, const Call& c) {
    if (!c.was_sent) return;
    ClassCount& n = verdict_.classes[c.request_class];
    ++n.sent, ++verdict_.calls;
    if (!c.deliveries.empty()) ++verdict_.taken;
    if (c.answers.empty()) {
      n.unanswered += c.wants_answer;
      return;
    }
    const auto& a = c.answers.front();
    n.served += a.outcome == "served", n.refused += a.outcome == "refused", n.failed += a.outcome == "failed";
    if (a.outcome == "served") n.latency_s.push_back(a.at - c.sent);
  }

  // Rule 1: every call taken gets exactly one answer, in time, and no attempt is sent after the answer.
  void check_answers(const std::string& call_name, const Call& c) {
    if (!c.was_sent) return;
    if (c.wants_answer) {
      const bool repeated = rules_.allow_repeated_answers &&
                            std::all_of(c.answers.begin(), c.answers.end(),
                                        [&](const Call::Answer& a) { return a.same(c.answers.front()); });
      if (repeated)
        verdict_.repeated += c.answers.empty() ? 0 : c.answers.size() - 1;
      else if (c.answers.size() > 1)
        report(1, "call " + call_name + " got " + std::to_string(c.answers.size()) +
                      " answers: " + c.answers[0].outcome + " at " + seconds(c.answers[0].at) + ", " +
                      c.answers[1].outcome + " at " + seconds(c.answers[1].at));
      if (c.answers.empty() && !c.deliveries.empty() && !c.expired)
        report(1, "call " + call_name + " was taken by " + c.deliveries.back().second + " at " +
                      seconds(c.deliveries.back().first) + " and never answered");
    }
    // A repeated request with the same key gets the same answer from every gateway, also after restarts.
    for (const auto& a : c.again)
      if (c.answers.empty() || a.outcome != c.answers.front().outcome || a.bytes != c.answers.front().bytes)
        report(1, "call " + call_name + " was asked for again at " + seconds(a.at) + " and met " + a.outcome +
                      ", " + std::to_string(static_cast<int>(a.bytes)) + " bytes; it had been answered " +
                      (c.answers.empty() ? "never" : c.answers.front().outcome));
    for (const auto& a : c.answers) {
      if (a.outcome != "served" && a.outcome != "refused" && a.outcome != "failed")
        report(1, "call " + call_name + " was answered with outcome '" + a.outcome + "'");
      // The time limit of the answered delivery starts at the last delivery before the answer.
      double taken = -1;
      for (const auto& [t, to] : c.deliveries)
        if (t <= a.at) taken = t;
      if (taken < 0) {
        report(1, "call " + call_name + " was answered at " + seconds(a.at) + " before any gateway had it");
        continue;
      }
      double allowed = c.patience + rules_.answer_grace_s;
      for (const TimeSpan& s :
           broker_not_reading_)  // the broker read nothing, so no answer could reach the client
        allowed += std::max(0.0, std::min(s.to, a.at) - std::max(s.from, taken));
      if (c.patience > 0 && a.at > taken + allowed)
        report(1, "call " + call_name + " was answered " + seconds(a.at - taken) +
                      " after it was taken; its patience is " + seconds(c.patience));
      if (a.outcome == "served" && c.ran.empty() && !c.dropped)
        report(1, "call " + call_name + " was answered served, but no worker ran it");
    }
    for (const auto& [t, by] : c.published)
      for (const Attempt& a : c.attempts)
        if (a.from == by && a.at > t + rules_.slack_s && !read_late(a.worker, a.at))
          report(1, "call " + call_name + " was sent to worker " + a.worker + " at " + seconds(a.at) +
                        ", after " + by + " had answered it at " + seconds(t));
  }

  // Rule 2: no call takes effect twice. Judged from the runs, and from earlier attempts that may have run
  // when the next attempt was sent.
  void check_effects(const std::string& call_name, const Call& c) {
    const ClassRule& rule = rule_of(c);
    if (rule.effect == "once" && c.ran.size() > 1)
      report(2, "call " + call_name + " of class " + c.request_class + " ran " +
                    std::to_string(c.ran.size()) + " times: at worker " + c.ran[0].second + " at " +
                    seconds(c.ran[0].first) + " and worker " + c.ran[1].second + " at " +
                    seconds(c.ran[1].first));
    const bool refusable = rule.effect == "repeatable" || (rule.effect == "keyed" && rule.group == "all");
    if (!refusable)
      for (const auto& a : c.answers)
        if (a.outcome == "refused" && !c.ran.empty())
          report(2, "call " + call_name + " was refused at " + seconds(a.at) + " though worker " +
                        c.ran[0].second + " ran it at " + seconds(c.ran[0].first));
    if (rule.effect == "repeatable") return;
    for (std::size_t i = 1; i < c.attempts.size(); ++i) {
      const Attempt& next = c.attempts[i];
      for (std::size_t j = 0; j < i; ++j) {
        const Attempt& earlier = c.attempts[j];
        const bool refused = earlier.answered && *earlier.answered <= next.at + rules_.slack_s &&
                             (earlier.kind == "full" || earlier.kind == "miss");
        if (refused) continue;
        if (rule.effect == "once") {
          report(2, "call " + call_name + " of class " + c.request_class + " was sent to worker " +
                        next.worker + " at " + seconds(next.at) + " while its attempt at worker " +
                        earlier.worker + " at " + seconds(earlier.at) + " may have run");
          return;
        }
        const bool same_group =
            rule.group == "all" || group(rule, earlier.worker) == group(rule, next.worker);
        if (!same_group || next.at > earlier.at + rule.repeat_window_s + rules_.slack_s) {
          report(2, "call " + call_name + " of class " + c.request_class + " was repeated at worker " +
                        next.worker + " at " + seconds(next.at) + ", outside what worker " + earlier.worker +
                        " of " + seconds(earlier.at) + " covers");
          return;
        }
        break;  // the first attempt that may have run determines the group and the window
      }
    }
  }
  std::string group(const ClassRule& rule, const std::string& worker) const {
    const auto& map = rule.group == "zone" ? rules_.zone_of_worker : rules_.rack_of_worker;
    const auto it = map.find(worker);
    return it == map.end() ? worker : it->second;
  }

  // Rule 3: once notified that a worker is draining or gone, a gateway stops sending to it within the grace.
  void check_drains() {
    auto check_sent = [&](const std::string& from, const std::string& worker, double t,
                          const std::string& event) {
      const auto it = reported_states_.find({from, worker});
      if (it == reported_states_.end() || read_late(worker, t)) return;
      std::optional<double> since;
      for (const auto& [at, state] : it->second) {
        if (at > t) break;
        if (state == "ready")
          since.reset();
        else if (!since)
          since = at;
      }
      if (since && t > *since + rules_.drain_grace_s + rules_.slack_s)
        report(3, event + " reached worker " + worker + " from " + from + " at " + seconds(t) +
                      "; it was told at " + seconds(*since) + " to leave it alone");
    };
    for (const auto& [call_name, c] : calls_)
      for (const Attempt& a : c.attempts) check_sent(a.from, a.worker, a.at, "call " + call_name);
    for (const Hold& h : holds_) check_sent(h.from, h.worker, h.at, "an order to load");
  }

  // Rule 4: the work sent to a cold worker in any window stays within its capacity during warm-up.
  void check_cold_workers() {
    if (rules_.overload_multiple <= 0 || rules_.cold_for_s <= 0) return;
    for (const auto& [worker, starts] : cold_starts_)
      for (const double start : starts) {
        std::deque<Arrival> window;
        double sent = 0;
        bool reported = false;
        for (const Arrival& a : arrivals_[worker]) {
          if (a.at < start || a.at > start + rules_.cold_for_s || reported) continue;
          auto work = [&](const Arrival& x) {
            const auto it = rules_.classes.find(x.request_class);
            return it == rules_.classes.end() ? 0.05 : it->second.work_s;
          };
          window.push_back(a), sent += work(a);
          while (a.at - window.front().at > rules_.overload_for_s)
            sent -= work(window.front()), window.pop_front();
          const double capacity_share = rules_.cold_capacity_share +
                                        (1 - rules_.cold_capacity_share) * (a.at - start) / rules_.cold_for_s;
          const double limit_s =
              rules_.overload_multiple * capacity_share * rules_.worker_cores * rules_.overload_for_s;
          if (sent <= limit_s + 3 * work(a)) continue;
          // A violation only if two thirds of the work came from gateways that had been notified of the
          // start.
          double informed_s = 0;
          for (const Arrival& x : window) {
            const auto starts_it = reported_starts_.find({x.from, worker});
            const bool informed =
                starts_it != reported_starts_.end() &&
                std::any_of(starts_it->second.begin(), starts_it->second.end(),
                            [&](double t) { return t >= start - rules_.slack_s && t <= x.at; });
            if (informed) informed_s += work(x);
          }
          if (informed_s < sent * 2 / 3) continue;
          reported = true;
          report(4, "worker " + worker + ", started at " + seconds(start) + ", was sent " + seconds(sent) +
                        " of work within " + seconds(rules_.overload_for_s) + " at " + seconds(a.at) +
                        "; it bears " + seconds(limit_s));
        }
      }
  }

  // Rule 5: at each load order, the orders of the window are limited by the calls taken in that window.
  void check_order_rate() {
    if (rules_.order_window_s <= 0) return;
    std::map<std::pair<std::string, std::string>, std::deque<double>> recent;
    std::sort(holds_.begin(), holds_.end(), [](const Hold& a, const Hold& b) { return a.at < b.at; });
    for (const Hold& h : holds_) {
      auto& window = recent[{h.from, h.life}];
      window.push_back(h.at);
      // Orders are recorded when workers read them, so the window's edges are shifted in the gateway's
      // favour.
      while (h.at - window.front() >= rules_.order_window_s - rules_.slack_s) window.pop_front();
      const auto& taken = taken_by_gateway_[h.from];
      const auto calls = std::count_if(taken.begin(), taken.end(), [&](double t) {
        return t <= h.at && t >= h.at - rules_.order_window_s - rules_.slack_s;
      });
      const double allowed = rules_.order_floor + rules_.orders_per_call * static_cast<double>(calls);
      if (static_cast<double>(window.size()) > allowed + 1e-9)
        report(5, h.from + " gave " + std::to_string(window.size()) + " orders to load within " +
                      seconds(rules_.order_window_s) + " at " + seconds(h.at) + "; " +
                      std::to_string(allowed) + " were allowed");
    }
  }

  struct Arrival {
    double at;
    std::string from, request_class;
  };
  struct Hold {
    double at;
    std::string from, life, worker;
  };
  const Rules& rules_;
  std::vector<json> events_;
  double start_ = 0, last_ = 0;
  std::map<std::string, Call> calls_;
  std::map<std::string, std::vector<Arrival>> arrivals_;
  std::map<std::string, std::vector<double>> cold_starts_, taken_by_gateway_;
  std::map<std::pair<std::string, std::string>, std::vector<std::pair<double, std::string>>> reported_states_;
  std::map<std::pair<std::string, std::string>, std::vector<double>> reported_starts_;
  std::map<std::string, std::vector<TimeSpan>> unresponsive_;
  std::vector<TimeSpan> broker_not_reading_;
  std::vector<Hold> holds_;
  Verdict verdict_;
};

double quantile(std::vector<double> v, double q) {
  if (v.empty()) return 0;
  const auto at = static_cast<std::size_t>(q * static_cast<double>(v.size() - 1));
  std::nth_element(v.begin(), v.begin() + static_cast<std::ptrdiff_t>(at), v.end());
  return v[at];
}

}  // namespace

Verdict judge(const Rules& rules, std::vector<json> recording) {
  return Judge(rules, std::move(recording)).run();
}

json Verdict::report() const {
  json per_rule = json::object();
  for (int rule = 1; rule <= 5; ++rule) {
    json reported = json::array();
    for (const Violation& b : violations)
      if (b.rule == rule) reported.push_back(b.what);
    const bool kept = reported.empty();
    per_rule[std::to_string(rule)] = {{"kept", kept}, {"breaks", std::move(reported)}};
  }
  json per_class = json::object();
  for (const auto& [call_name, c] : classes)
    per_class[call_name] = {{"sent", c.sent},
                            {"served", c.served},
                            {"refused", c.refused},
                            {"failed", c.failed},
                            {"unanswered", c.unanswered},
                            {"p50_ms", 1000 * quantile(c.latency_s, 0.5)},
                            {"p99_ms", 1000 * quantile(c.latency_s, 0.99)}};
  return {{"kept", kept()},
          {"rules", per_rule},
          {"classes", per_class},
          {"calls", calls},
          {"taken", taken},
          {"attempts", attempts},
          {"runs", runs},
          {"holds", holds},
          {"redelivered", redelivered},
          {"repeated", repeated},
          {"asked_again", asked_again}};
}

}  // namespace laureltide::check
