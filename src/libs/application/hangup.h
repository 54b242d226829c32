#pragma once

namespace Application {

/**
 * Makes the process ignore SIGHUP until a handler is installed. Called first in main(), since a hangup that arrives
 * while a program starts would end it. The settings file is read at an interval too, so nothing is missed.
 */
void ignoreHangup();

} // namespace Application
