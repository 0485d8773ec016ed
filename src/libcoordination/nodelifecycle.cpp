#include "nodelifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace coltsfoot {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

struct Joined {};
struct Drain {};
struct Stop {};

struct LifecycleDefinition
    : msm::front::state_machine_def<LifecycleDefinition> {
  struct Joining : msm::front::state<> {};
  struct Serving : msm::front::state<> {};
  struct Draining : msm::front::state<> {};
  struct Stopped : msm::front::state<> {};
  using initial_state = Joining;

  // Boost.MSM numbers the states by the order of the rows. state() relies on
  // these numbers being the values of NodeLifecycle::State.
  struct transition_table
      : mpl::vector<msm::front::Row<Joining, Joined, Serving>,
                    msm::front::Row<Serving, Drain, Draining>,
                    msm::front::Row<Draining, Stop, Stopped>,
                    msm::front::Row<Joining, Drain, Draining>> {};

  template <class Machine, class Event>
  void no_transition(const Event & /*Unused*/, Machine & /*Unused*/,
                     int /*State*/) {}
};

} // namespace

struct NodeLifecycle::Machine : msm::back::state_machine<LifecycleDefinition> {
};

NodeLifecycle::NodeLifecycle() : Machine_(std::make_unique<Machine>()) {
  Machine_->start();
}

NodeLifecycle::~NodeLifecycle() = default;

NodeLifecycle::State NodeLifecycle::state() const {
  return static_cast<State>(*Machine_->current_state());
}

bool NodeLifecycle::startServing() {
  return Machine_->process_event(Joined()) == msm::back::HANDLED_TRUE;
}

bool NodeLifecycle::drain() {
  return Machine_->process_event(Drain()) == msm::back::HANDLED_TRUE;
}

bool NodeLifecycle::stop() {
  return Machine_->process_event(Stop()) == msm::back::HANDLED_TRUE;
}

const char *nodeStateName(NodeLifecycle::State State) {
  switch (State) {
  case NodeLifecycle::State::Joining:
    return "joining";
  case NodeLifecycle::State::Serving:
    return "serving";
  case NodeLifecycle::State::Draining:
    return "draining";
  case NodeLifecycle::State::Stopped:
    return "stopped";
  }
  return "unknown";
}

} // namespace coltsfoot
