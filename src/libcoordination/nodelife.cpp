#include "nodelife.h"

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

struct LifeTable : msm::front::state_machine_def<LifeTable> {
  struct Joining : msm::front::state<> {};
  struct Serving : msm::front::state<> {};
  struct Draining : msm::front::state<> {};
  struct Stopped : msm::front::state<> {};
  using initial_state = Joining;

  // The order of the rows gives the states their numbers, which match
  // NodeLife::State.
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

struct NodeLife::Machine : msm::back::state_machine<LifeTable> {};

NodeLife::NodeLife() : Machine_(std::make_unique<Machine>()) {
  Machine_->start();
}

NodeLife::~NodeLife() = default;

NodeLife::State NodeLife::state() const {
  return static_cast<State>(*Machine_->current_state());
}

bool NodeLife::joined() {
  return Machine_->process_event(Joined()) == msm::back::HANDLED_TRUE;
}

bool NodeLife::drain() {
  return Machine_->process_event(Drain()) == msm::back::HANDLED_TRUE;
}

bool NodeLife::stop() {
  return Machine_->process_event(Stop()) == msm::back::HANDLED_TRUE;
}

const char *nodeStateName(NodeLife::State State) {
  switch (State) {
  case NodeLife::State::Joining:
    return "joining";
  case NodeLife::State::Serving:
    return "serving";
  case NodeLife::State::Draining:
    return "draining";
  case NodeLife::State::Stopped:
    return "stopped";
  }
  return "unknown";
}

} // namespace coltsfoot
