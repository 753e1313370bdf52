// The wire's words and numbers, in one place. See the wire page for their meaning.
#pragma once

#include <cstdint>

namespace laureltide::wire {

enum class EventCode : std::uint8_t {
  kMemo = 1,
  kLaunch = 2,
  kArrival = 3,
  kHeaders = 4,
  kTimer = 5,
  kRetire = 6,
  kReturned = 7,
  kFleet = 8,
  kLedger = 9,
  kReadyThere = 10,
  kHealthResult = 11,
  kAbandoned = 12,
};

enum class ActionCode : std::uint8_t {
  kDisconnect = 65,
  kError = 66,
  kCrash = 67,
  kSignal = 68,
  kTurnAway = 69,
  kFreeUp = 70,
  kRoute = 71,
  kWakeMe = 72,
  kPinUp = 73,
  kFollow = 74,
  kRevoke = 75,
  kEmit = 76,
  kRefresh = 77,
  kInspect = 78,
};

enum class StateCode : std::uint8_t {
  kOk = 10,
  kError = 20,
  kFull = 30,
  kTimeout = 40,
  kConnectFailed = 50,
  kReset = 60,
  kCancelled = 70,
  kNotRun = 80,
  kMiss = 90,
};

inline constexpr std::uint32_t kEveryPeer = 0xffffffff;
inline constexpr std::uint8_t kHintValid = 1, kClientRepeat = 2, kIsWrite = 4;
inline constexpr int kFoundMask = 7, kCompanyShift = 3;

}  // namespace laureltide::wire
