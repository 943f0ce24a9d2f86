// The one translation unit that compiles the non-template parts of Asio and
// Beast.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
