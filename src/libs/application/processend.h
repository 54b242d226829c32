#pragma once

namespace Application {

/**
 * Ends the process without the handlers and destructors of static objects: log4cplus waits there for its worker
 * threads, and has kept processes from ending until they were killed.
 * @param exitCode the exit code of the process.
 */
[[noreturn]] void endProcess(int exitCode);

} // namespace Application
