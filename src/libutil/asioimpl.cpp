// Compiles the non-template parts of Boost.Asio and Boost.Beast once for the
// whole project instead of in every source file that includes them.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
