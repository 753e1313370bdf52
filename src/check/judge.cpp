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
  std::vector<std::pair<double, std::string>> deliveries;  // when, to whom
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
  std::vector<Answer> again;  // what the same request met when it was made again under its key
  std::vector<std::pair<double, std::string>> published;  // answers as they left a gateway
  std::vector<Attempt> attempts;
  std::vector<std::pair<double, std::string>> ran;
  bool dropped = false;  // a repeat that a worker dropped
};

struct Span {
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
  Judge(const Rules& rules, std::vector<json> tape) : rules_(rules), tape_(std::move(tape)) {
    std::stable_sort(tape_.begin(), tape_.end(),
                     [](const json& a, const json& b) { return a.value("t", 0.0) < b.value("t", 0.0); });
    start_ = tape_.empty() ? 0 : tape_.front().value("t", 0.0);
  }

  Verdict run() {
    read();
    for (auto& [name, call] : calls_) {
      count(name, call);
      one_answer(name, call);
      no_effect_twice(name, call);
    }
    drains_kept();
    cold_workers_stand();
    orders_rationed();
    std::stable_sort(verdict_.breaks.begin(), verdict_.breaks.end(),
                     [](const Break& a, const Break& b) { return a.rule < b.rule; });
    return std::move(verdict_);
  }

 private:
  double time(const json& e) const { return (e.value("t", 0.0) - start_) * 1e-9; }
  static std::string worker_of(const json& e) { return std::to_string(e.value("worker", 0)); }
  void broken(int rule, std::string what) { verdict_.breaks.push_back({rule, std::move(what)}); }

  void read() {
    // What a client heard its call to be named: workers note that name.
    std::map<std::string, std::string> named;
    for (const json& e : tape_)
      if (e.value("e", "") == "named") named[e.value("id", "")] = e.value("call", "");
    for (const json& e : tape_) {
      const std::string what = e.value("e", "");
      const double t = time(e);
      std::string name = e.value("call", "");
      if (const auto alias = named.find(name); alias != named.end()) name = alias->second;
      if (what == "sent") {
        Call& c = calls_[name];
        c.was_sent = true, c.sent = t, c.request_class = e.value("class", ""),
        c.function = e.value("function", "");
        c.patience = e.value("patience_ms", 0.0) / 1000, c.wants_answer = e.value("wants_answer", true);
      } else if (what == "confirmed") {
        calls_[name].confirmed = true;
      } else if (what == "delivered") {
        calls_[name].deliveries.emplace_back(t, e.value("to", ""));
        verdict_.redelivered += e.value("redelivered", false);
        taken_by_[e.value("to", "")].push_back(t);
      } else if (what == "expired") {
        calls_[name].expired = true;
      } else if (what == "answer") {
        calls_[name].answers.push_back(
            {t, e.value("outcome", ""), e.value("reason", ""), e.value("id", ""), e.value("bytes", 0.0)});
      } else if (what == "again") {
        calls_[name].again.push_back({t, e.value("outcome", ""), "", "", e.value("bytes", 0.0)});
        ++verdict_.asked_again;
      } else if (what == "published") {
        if (const std::string c = e.value("correlation", "");
            e.value("exchange", "").empty() && e.value("call", "").empty())
          calls_[c].published.emplace_back(t, e.value("by", ""));
      } else if (what == "call") {
        const std::string w = worker_of(e);
        calls_[name].attempts.push_back(
            {t, w, e.value("from", ""), e.value("life", ""), e.value("attempt", 0), {}, {}});
        arrivals_[w].push_back({t, e.value("from", ""),
                                rules_.class_of_function.count(e.value("function", ""))
                                    ? rules_.class_of_function.at(e.value("function", ""))
                                    : ""});
        ++verdict_.attempts;
      } else if (what == "answered") {
        auto& attempts = calls_[name].attempts;
        for (auto it = attempts.rbegin(); it != attempts.rend(); ++it)
          if (it->worker == worker_of(e) && it->number == e.value("attempt", 0) && !it->answered) {
            it->answered = t, it->kind = e.value("kind", "");
            break;
          }
      } else if (what == "ran") {
        calls_[name].ran.emplace_back(t, worker_of(e));
        ++verdict_.runs;
      } else if (what == "dropped") {
        calls_[name].dropped = true;
      } else if (what == "hold") {
        ++verdict_.holds;
        if (e.value("count", 0) > 0)
          holds_.push_back({t, e.value("from", ""), e.value("life", ""), worker_of(e)});
      } else if (what == "told") {
        const std::string to = e.value("to", "");
        std::set<std::string> named;
        for (const auto& [w, state] : e.at("states").items()) {
          told_[{to, w}].emplace_back(t, state.get<std::string>());
          named.insert(w);
        }
        // A full list that no longer names a worker says that it is gone.
        if (e.value("full", false))
          for (auto& [key, states] : told_)
            if (key.first == to && !named.contains(key.second) && states.back().second != "gone")
              states.emplace_back(t, "gone");
        for (const auto& [w, started] : e.at("starts").items()) knew_[{to, w}].push_back(t);
      } else if (what == "started" && e.value("cold", false)) {
        cold_starts_[worker_of(e)].push_back(t);
      } else if (what == "silent") {
        silence(quiet_[worker_of(e)], e.value("on", false), t);
      } else if (what == "deaf") {
        silence(deaf_, e.value("on", false), t);
      }
      last_ = t;
    }
  }
  static void silence(std::vector<Span>& spans, bool on, double t) {
    if (on)
      spans.push_back({t, 1e18});
    else if (!spans.empty())
      spans.back().to = t;
  }
  // A worker that was silent reads late: what it notes then says nothing of when it was sent.
  bool read_late(const std::string& worker, double t) const {
    const auto it = quiet_.find(worker);
    return it != quiet_.end() && std::any_of(it->second.begin(), it->second.end(), [&](const Span& s) {
             return t >= s.from && t <= s.to + rules_.slack_s;
           });
  }

  const ClassRule& rule_of(const Call& c) const {
    static const ClassRule kNone{"once", "all", 0, 0.05};
    const auto it = rules_.classes.find(c.request_class);
    return it == rules_.classes.end() ? kNone : it->second;
  }

  void count(const std::string&, const Call& c) {
    if (!c.was_sent) return;
    ClassCount& n = verdict_.classes[c.request_class];
    ++n.sent, ++verdict_.calls;
    if (!c.deliveries.empty()) ++verdict_.taken;
    if (c.answers.empty()) {
      n.untaken += c.wants_answer;
      return;
    }
    const auto& a = c.answers.front();
    n.served += a.outcome == "served", n.refused += a.outcome == "refused", n.failed += a.outcome == "failed";
    if (a.outcome == "served") n.latency_s.push_back(a.at - c.sent);
  }

  // Rule 1: what was taken gets one answer, in time, and nothing is sent for it afterwards.
  void one_answer(const std::string& name, const Call& c) {
    if (!c.was_sent) return;
    if (c.wants_answer) {
      const bool repeated = rules_.allow_repeated_answers &&
                            std::all_of(c.answers.begin(), c.answers.end(),
                                        [&](const Call::Answer& a) { return a.same(c.answers.front()); });
      if (repeated)
        verdict_.repeated += c.answers.empty() ? 0 : c.answers.size() - 1;
      else if (c.answers.size() > 1)
        broken(1, "call " + name + " got " + std::to_string(c.answers.size()) +
                      " answers: " + c.answers[0].outcome + " at " + seconds(c.answers[0].at) + ", " +
                      c.answers[1].outcome + " at " + seconds(c.answers[1].at));
      if (c.answers.empty() && !c.deliveries.empty() && !c.expired)
        broken(1, "call " + name + " was taken by " + c.deliveries.back().second + " at " +
                      seconds(c.deliveries.back().first) + " and never answered");
    }
    // A name that was answered is answered the same, by whoever is asked and however many lives later.
    for (const auto& a : c.again)
      if (c.answers.empty() || a.outcome != c.answers.front().outcome || a.bytes != c.answers.front().bytes)
        broken(1, "call " + name + " was asked for again at " + seconds(a.at) + " and met " + a.outcome +
                      ", " + std::to_string(static_cast<int>(a.bytes)) + " bytes; it had been answered " +
                      (c.answers.empty() ? "never" : c.answers.front().outcome));
    for (const auto& a : c.answers) {
      if (a.outcome != "served" && a.outcome != "refused" && a.outcome != "failed")
        broken(1, "call " + name + " was answered with outcome '" + a.outcome + "'");
      // The patience of the try that was answered runs from its last delivery.
      double taken = -1;
      for (const auto& [t, to] : c.deliveries)
        if (t <= a.at) taken = t;
      if (taken < 0) {
        broken(1, "call " + name + " was answered at " + seconds(a.at) + " before any gateway had it");
        continue;
      }
      double allowed = c.patience + rules_.answer_grace_s;
      for (const Span& s : deaf_)  // nothing could reach the client while its broker did not read
        allowed += std::max(0.0, std::min(s.to, a.at) - std::max(s.from, taken));
      if (c.patience > 0 && a.at > taken + allowed)
        broken(1, "call " + name + " was answered " + seconds(a.at - taken) +
                      " after it was taken; its patience is " + seconds(c.patience));
      if (a.outcome == "served" && c.ran.empty() && !c.dropped)
        broken(1, "call " + name + " was answered served, but no worker ran it");
    }
    for (const auto& [t, by] : c.published)
      for (const Attempt& a : c.attempts)
        if (a.from == by && a.at > t + rules_.slack_s && !read_late(a.worker, a.at))
          broken(1, "call " + name + " was sent to worker " + a.worker + " at " + seconds(a.at) + ", after " +
                        by + " had answered it at " + seconds(t));
  }

  // Rule 2, from what ran and from what may have run when the next attempt came.
  void no_effect_twice(const std::string& name, const Call& c) {
    const ClassRule& rule = rule_of(c);
    if (rule.effect == "once" && c.ran.size() > 1)
      broken(2, "call " + name + " of class " + c.request_class + " ran " + std::to_string(c.ran.size()) +
                    " times: at worker " + c.ran[0].second + " at " + seconds(c.ran[0].first) +
                    " and worker " + c.ran[1].second + " at " + seconds(c.ran[1].first));
    const bool refusable = rule.effect == "repeatable" || (rule.effect == "keyed" && rule.group == "all");
    if (!refusable)
      for (const auto& a : c.answers)
        if (a.outcome == "refused" && !c.ran.empty())
          broken(2, "call " + name + " was refused at " + seconds(a.at) + " though worker " +
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
          broken(2, "call " + name + " of class " + c.request_class + " was sent to worker " + next.worker +
                        " at " + seconds(next.at) + " while its attempt at worker " + earlier.worker +
                        " at " + seconds(earlier.at) + " may have run");
          return;
        }
        const bool same_group =
            rule.group == "all" || group(rule, earlier.worker) == group(rule, next.worker);
        if (!same_group || next.at > earlier.at + rule.repeat_window_s + rules_.slack_s) {
          broken(2, "call " + name + " of class " + c.request_class + " was repeated at worker " +
                        next.worker + " at " + seconds(next.at) + ", outside what worker " + earlier.worker +
                        " of " + seconds(earlier.at) + " covers");
          return;
        }
        break;  // the first that may have run sets group and window
      }
    }
  }
  std::string group(const ClassRule& rule, const std::string& worker) const {
    const auto& map = rule.group == "zone" ? rules_.zone_of_worker : rules_.rack_of_worker;
    const auto it = map.find(worker);
    return it == map.end() ? worker : it->second;
  }

  // Rule 3: told that a worker drains or is gone, a gateway stops sending there within the grace.
  void drains_kept() {
    auto look = [&](const std::string& from, const std::string& worker, double t, const std::string& what) {
      const auto it = told_.find({from, worker});
      if (it == told_.end() || read_late(worker, t)) return;
      std::optional<double> since;
      for (const auto& [at, state] : it->second) {
        if (at > t) break;
        if (state == "ready")
          since.reset();
        else if (!since)
          since = at;
      }
      if (since && t > *since + rules_.drain_grace_s + rules_.slack_s)
        broken(3, what + " reached worker " + worker + " from " + from + " at " + seconds(t) +
                      "; it was told at " + seconds(*since) + " to leave it alone");
    };
    for (const auto& [name, c] : calls_)
      for (const Attempt& a : c.attempts) look(a.from, a.worker, a.at, "call " + name);
    for (const Hold& h : holds_) look(h.from, h.worker, h.at, "an order to load");
  }

  // Rule 4: the work sent to a worker that just started, in any window, against what it can do then.
  void cold_workers_stand() {
    if (rules_.overload_multiple <= 0 || rules_.cold_for_s <= 0) return;
    for (const auto& [worker, starts] : cold_starts_)
      for (const double start : starts) {
        std::deque<Arrival> window;
        double sent = 0;
        bool said = false;
        for (const Arrival& a : arrivals_[worker]) {
          if (a.at < start || a.at > start + rules_.cold_for_s || said) continue;
          auto work = [&](const Arrival& x) {
            const auto it = rules_.classes.find(x.request_class);
            return it == rules_.classes.end() ? 0.05 : it->second.work_s;
          };
          window.push_back(a), sent += work(a);
          while (a.at - window.front().at > rules_.overload_for_s)
            sent -= work(window.front()), window.pop_front();
          const double warmth = rules_.cold_capacity_share +
                                (1 - rules_.cold_capacity_share) * (a.at - start) / rules_.cold_for_s;
          const double bears =
              rules_.overload_multiple * warmth * rules_.worker_cores * rules_.overload_for_s;
          if (sent <= bears + 3 * work(a)) continue;
          // Charged to the gateways only if two thirds came from those that knew of the start.
          double knowing = 0;
          for (const Arrival& x : window) {
            const auto k = knew_.find({x.from, worker});
            const bool knew = k != knew_.end() &&
                              std::any_of(k->second.begin(), k->second.end(),
                                          [&](double t) { return t >= start - rules_.slack_s && t <= x.at; });
            if (knew) knowing += work(x);
          }
          if (knowing < sent * 2 / 3) continue;
          said = true;
          broken(4, "worker " + worker + ", started at " + seconds(start) + ", was sent " + seconds(sent) +
                        " of work within " + seconds(rules_.overload_for_s) + " at " + seconds(a.at) +
                        "; it bears " + seconds(bears));
        }
      }
  }

  // Rule 5: at each order, those of the window against the calls taken in it.
  void orders_rationed() {
    if (rules_.order_window_s <= 0) return;
    std::map<std::pair<std::string, std::string>, std::deque<double>> recent;
    std::sort(holds_.begin(), holds_.end(), [](const Hold& a, const Hold& b) { return a.at < b.at; });
    for (const Hold& h : holds_) {
      auto& window = recent[{h.from, h.life}];
      window.push_back(h.at);
      // Orders are noted when workers read them: the window's edges are taken in the gateway's favour.
      while (h.at - window.front() >= rules_.order_window_s - rules_.slack_s) window.pop_front();
      const auto& taken = taken_by_[h.from];
      const auto calls = std::count_if(taken.begin(), taken.end(), [&](double t) {
        return t <= h.at && t >= h.at - rules_.order_window_s - rules_.slack_s;
      });
      const double allowed = rules_.order_floor + rules_.orders_per_call * static_cast<double>(calls);
      if (static_cast<double>(window.size()) > allowed + 1e-9)
        broken(5, h.from + " gave " + std::to_string(window.size()) + " orders to load within " +
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
  std::vector<json> tape_;
  double start_ = 0, last_ = 0;
  std::map<std::string, Call> calls_;
  std::map<std::string, std::vector<Arrival>> arrivals_;
  std::map<std::string, std::vector<double>> cold_starts_, taken_by_;
  std::map<std::pair<std::string, std::string>, std::vector<std::pair<double, std::string>>> told_;
  std::map<std::pair<std::string, std::string>, std::vector<double>> knew_;
  std::map<std::string, std::vector<Span>> quiet_;
  std::vector<Span> deaf_;
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

Verdict judge(const Rules& rules, std::vector<json> tape) { return Judge(rules, std::move(tape)).run(); }

json Verdict::report() const {
  json per_rule = json::object();
  for (int rule = 1; rule <= 5; ++rule) {
    json said = json::array();
    for (const Break& b : breaks)
      if (b.rule == rule) said.push_back(b.what);
    const bool kept = said.empty();
    per_rule[std::to_string(rule)] = {{"kept", kept}, {"breaks", std::move(said)}};
  }
  json per_class = json::object();
  for (const auto& [name, c] : classes)
    per_class[name] = {{"sent", c.sent},
                       {"served", c.served},
                       {"refused", c.refused},
                       {"failed", c.failed},
                       {"unanswered", c.untaken},
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
