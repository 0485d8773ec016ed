#include "connectionlifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace coltsfoot {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

struct HelloReceived {};
struct CloseRequested {};

struct LifecycleDefinition
    : msm::front::state_machine_def<LifecycleDefinition> {
  struct Handshaking : msm::front::state<> {};
  struct Open : msm::front::state<> {};
  struct Closed : msm::front::state<> {};
  using initial_state = Handshaking;

  // Boost.MSM numbers the states in the order of these rows. state() relies on
  // the numbers being the same as the values of ConnectionLifecycle::State.
  struct transition_table
      : mpl::vector<msm::front::Row<Handshaking, HelloReceived, Open>,
                    msm::front::Row<Open, CloseRequested, Closed>,
                    msm::front::Row<Handshaking, CloseRequested, Closed>> {};

  template <class Machine, class Event>
  void no_transition(const Event & /*Unused*/, Machine & /*Unused*/,
                     int /*State*/) {}
};

} // namespace

struct ConnectionLifecycle::Machine
    : msm::back::state_machine<LifecycleDefinition> {};

ConnectionLifecycle::ConnectionLifecycle()
    : Machine_(std::make_unique<Machine>()) {
  Machine_->start();
}

ConnectionLifecycle::~ConnectionLifecycle() = default;

ConnectionLifecycle::State ConnectionLifecycle::state() const {
  return static_cast<State>(*Machine_->current_state());
}

bool ConnectionLifecycle::onHello() {
  return Machine_->process_event(HelloReceived()) == msm::back::HANDLED_TRUE;
}

bool ConnectionLifecycle::close() {
  return Machine_->process_event(CloseRequested()) == msm::back::HANDLED_TRUE;
}

} // namespace coltsfoot
