// The parts of Boost.Asio and Boost.Beast that are no templates, compiled once
// for the whole project in place of once in every source that includes them.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
