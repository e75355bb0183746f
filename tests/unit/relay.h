// TCP relay on loopback for tests of real connections, with fault injection.
#ifndef RELAY_H
#define RELAY_H

#include <algorithm>

#include "mesh_rig.h"

namespace mesh_rig {

// Passes the bytes of each connection to the server at upstream and back.
//
// A muted connection stays open and takes bytes, but delivers none, whatever
// happens later; only a timeout of its client shows that.
class Relay {
  public:
    Relay(Loop *loop, const std::string &upstream)
        : address(FreeAddress()), loop_(loop), upstream_(upstream)
    {
        listener_ = BbH1_Listen(address.c_str());
        EXPECT_GE(listener_, 0);
        ev_io_init(&accept_io_, OnAccept, listener_, EV_READ);
        accept_io_.data = this;
        ev_io_start(loop->loop, &accept_io_);
    }
    ~Relay()
    {
        ev_io_stop(loop_->loop, &accept_io_);
        close(listener_);
    }
    void MuteOpenConnections()
    {
        for (auto &pair : pairs_) {
            pair->is_muted = true;
        }
    }
    void ResetOpenConnections()
    {
        for (auto &pair : pairs_) {
            linger option = {1, 0};
            setsockopt(pair->client.fd, SOL_SOCKET, SO_LINGER, &option,
                       sizeof(option));
            pair->is_ended = true;
        }
        RemoveEndedPairs();
    }
    // While true, responses are lost, and a connection on which one was lost
    // is muted for good.
    bool is_silent = false;
    std::string address;

  private:
    struct Pair;
    // One of the two connections of a pair, with the bytes to be sent on it.
    struct End {
        Pair *pair = nullptr;
        End *other = nullptr;
        int fd = -1;
        ev_io read_io, write_io;
        std::string out;
        bool is_client = false; // the connection that the relay has accepted
    };
    struct Pair {
        explicit Pair(Relay *owner) : relay(owner)
        {
        }
        ~Pair()
        {
            for (End *end : {&client, &server}) {
                ev_io_stop(relay->loop_->loop, &end->read_io);
                ev_io_stop(relay->loop_->loop, &end->write_io);
                close(end->fd);
            }
        }
        Relay *relay;
        End client, server;
        bool is_muted = false;
        bool is_ended = false;
    };
    static void OnAccept(struct ev_loop *, ev_io *io, int)
    {
        auto *relay = static_cast<Relay *>(io->data);
        int fd = accept4(relay->listener_, nullptr, nullptr, SOCK_NONBLOCK);
        if (fd >= 0) {
            relay->AddPair(fd);
        }
    }
    void AddPair(int client_fd)
    {
        RemoveEndedPairs();
        auto pair = std::make_unique<Pair>(this);
        pair->client.is_client = true;
        InitEnd(pair.get(), &pair->client, &pair->server, client_fd);
        InitEnd(pair.get(), &pair->server, &pair->client,
                BbH1_Connect(upstream_.c_str()));
        pairs_.push_back(std::move(pair));
    }
    void InitEnd(Pair *pair, End *end, End *other, int fd)
    {
        end->pair = pair;
        end->other = other;
        end->fd = fd;
        ev_io_init(&end->read_io, OnReadable, fd, EV_READ);
        ev_io_init(&end->write_io, OnWritable, fd, EV_WRITE);
        end->read_io.data = end->write_io.data = end;
        ev_io_start(loop_->loop, &end->read_io);
    }
    void RemoveEndedPairs()
    {
        pairs_.erase(std::remove_if(pairs_.begin(), pairs_.end(),
                                    [](const std::unique_ptr<Pair> &pair) {
                                        return pair->is_ended;
                                    }),
                     pairs_.end());
    }
    static void OnReadable(struct ev_loop *loop, ev_io *io, int)
    {
        auto *end = static_cast<End *>(io->data);
        Pair *pair = end->pair;
        char data[65536];
        ssize_t size = recv(end->fd, data, sizeof(data), MSG_DONTWAIT);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (size <= 0) {
            ev_io_stop(loop, io);
            // The client of a muted connection does not see its end.
            if (end->is_client || !pair->is_muted) {
                pair->is_ended = true;
                pair->relay->RemoveEndedPairs();
            }
            return;
        }
        if (!end->is_client && pair->relay->is_silent) {
            pair->is_muted = true;
        }
        if (!end->is_client && pair->is_muted) {
            return;
        }
        end->other->out.append(data, static_cast<size_t>(size));
        ev_io_start(loop, &end->other->write_io);
    }
    static void OnWritable(struct ev_loop *loop, ev_io *io, int)
    {
        auto *end = static_cast<End *>(io->data);
        ssize_t size =
            send(end->fd, end->out.data(), end->out.size(), MSG_NOSIGNAL);
        if (size > 0) {
            end->out.erase(0, static_cast<size_t>(size));
        }
        bool is_blocked = size < 0 && (errno == EAGAIN || errno == EINTR);
        if (end->out.empty() || (size < 0 && !is_blocked)) {
            ev_io_stop(loop, io);
        }
    }
    Loop *loop_;
    std::string upstream_;
    int listener_;
    ev_io accept_io_;
    std::vector<std::unique_ptr<Pair>> pairs_;
};

} // namespace mesh_rig

#endif
