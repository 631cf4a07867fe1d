#include "forwarding/messagestream.h"

#include <array>
#include <cstdint>
#include <utility>

namespace Forwarding {

namespace {

    constexpr std::size_t lengthBytes = 4;
    constexpr int bitsPerByte = 8;

    std::array<char, lengthBytes> encodeLength(std::size_t length)
    {
        std::array<char, lengthBytes> bytes {};
        for (std::size_t i = 0; i < lengthBytes; ++i)
            bytes.at(lengthBytes - 1 - i) = static_cast<char>(length >> (bitsPerByte * i));
        return bytes;
    }

    std::size_t decodeLength(std::string_view bytes)
    {
        std::size_t length = 0;
        for (const char byte : bytes.substr(0, lengthBytes))
            length = (length << bitsPerByte) | static_cast<unsigned char>(byte);
        return length;
    }

}

MessageStream::MessageStream(EventLoop::Loop& loop, const std::string& address, MessageStreamHooks hooks)
    : m_hooks(std::make_shared<const MessageStreamHooks>(std::move(hooks)))
    , m_alive(std::make_shared<bool>(true))
    , m_stream(EventLoop::TcpStream::connect(loop, address, streamHooks()))
{
}

MessageStream::MessageStream(std::unique_ptr<EventLoop::TcpStream> stream, MessageStreamHooks hooks)
    : m_hooks(std::make_shared<const MessageStreamHooks>(std::move(hooks)))
    , m_alive(std::make_shared<bool>(true))
    , m_stream(std::move(stream))
{
    m_stream->setHooks(streamHooks());
}

MessageStream::~MessageStream() = default;

EventLoop::StreamHooks MessageStream::streamHooks()
{
    EventLoop::StreamHooks hooks;
    hooks.connected = [running = m_hooks] { running->connected(); };
    hooks.received = [this](std::string_view data) { receive(data); };
    hooks.closed = [running = m_hooks] { running->closed(); };
    return hooks;
}

void MessageStream::send(std::string_view message)
{
    const auto length = encodeLength(message.size());
    std::string bytes(length.begin(), length.end());
    bytes.append(message);
    m_stream->write(bytes);
}

void MessageStream::receive(std::string_view data)
{
    m_buffer.append(data);
    const std::shared_ptr<const MessageStreamHooks> hooks = m_hooks;
    const std::weak_ptr<bool> alive = m_alive;
    std::string buffer = std::exchange(m_buffer, {});
    std::string_view rest = buffer;
    while (rest.size() >= lengthBytes) {
        const std::size_t length = decodeLength(rest);
        if (length > maxMessageBytes)
            return hooks->closed();
        if (rest.size() - lengthBytes < length)
            break;
        hooks->received(rest.substr(lengthBytes, length));
        if (alive.expired())
            return;
        rest.remove_prefix(lengthBytes + length);
    }
    buffer.erase(0, buffer.size() - rest.size());
    m_buffer = std::move(buffer);
}

}
