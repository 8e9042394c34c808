#include "standins/common/run_journal.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <stdexcept>
#include <unistd.h>

namespace sycamoretray::standins
{

run_journal::run_journal(const std::string &path)
{
    if (path.empty()) {
        return;
    }
    m_descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (m_descriptor < 0) {
        throw std::runtime_error("cannot open the run journal " + path);
    }
}

run_journal::~run_journal()
{
    if (m_descriptor >= 0) {
        close(m_descriptor);
    }
}

void run_journal::append(const nlohmann::json &event)
{
    if (m_descriptor < 0) {
        return;
    }
    const std::string line = event.dump() + "\n";
    CHECK_EQ(write(m_descriptor, line.data(), line.size()), static_cast<ssize_t>(line.size())) << "cannot write the whole line to the run journal";
}

} // namespace sycamoretray::standins
