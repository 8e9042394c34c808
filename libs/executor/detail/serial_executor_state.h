#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

namespace sycamoretray::detail
{

struct serial_executor_state {
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
};

} // namespace sycamoretray::detail
