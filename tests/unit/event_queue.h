// Events in virtual time, for tests that play a load without a network.
#ifndef EVENT_QUEUE_H
#define EVENT_QUEUE_H

#include <functional>
#include <queue>
#include <utility>
#include <vector>

class EventQueue {
  public:
    // Events of the same time run in the order in which they were added.
    void At(double at, std::function<void()> run)
    {
        events_.push({at, added++, std::move(run)});
    }
    // Runs events, also those that are added meanwhile, until none is left.
    void RunEvents()
    {
        while (!events_.empty()) {
            Event event = events_.top();
            events_.pop();
            now = event.at;
            event.run();
        }
    }

    double now = 0;
    long added = 0; // number of events

  private:
    struct Event {
        double at;
        long order;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    std::priority_queue<Event> events_;
};

#endif
