// Prints free loopback ports.
#include "sockets.h"

#include <iostream>
#include <memory>
#include <vector>

int main(int argc, char** argv)
{
    const int count = argc > 1 ? std::atoi(argv[1]) : 1;
    std::vector<std::unique_ptr<Review::Listener>> listeners;
    for (int i = 0; i < count; ++i) {
        listeners.push_back(std::make_unique<Review::Listener>(std::uint16_t(0)));
        std::cout << listeners.back()->port() << '\n';
    }
}
