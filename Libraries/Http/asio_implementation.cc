// Compiles the non-template parts of Asio and Beast once for the whole project;
// the build sets BOOST_ASIO_SEPARATE_COMPILATION and
// BOOST_BEAST_SEPARATE_COMPILATION.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
