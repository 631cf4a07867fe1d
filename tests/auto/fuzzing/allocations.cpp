#include "fuzz.h"

#include <cstdlib>
#include <new>

std::atomic<std::size_t> Fuzz::allocatedBytes = 0;

// Replaces the allocation functions of the program by ones that count.
void* operator new(std::size_t size)
{
    Fuzz::allocatedBytes += size;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); }

void operator delete(void* memory, std::size_t /*size*/) noexcept { std::free(memory); }
