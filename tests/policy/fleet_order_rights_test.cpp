#include "policy/fleet/order_permission.hpp"

#include "tests/policy/property.hpp"

#include <boost/test/unit_test.hpp>

using namespace pollenhaven;

namespace
{

const endpoint_id engine{"engine"};

daemon_id name_of(int number)
{
    return {"daemon-" + std::to_string(number)};
}

fleet_view view_of(int self, int members)
{
    fleet_view fleet;
    fleet.self = name_of(self);
    for (int number = 0; number < members; ++number)
    {
        member_view& member = fleet.members[name_of(number)];
        member.id = name_of(number);
        member.leased = true;
        member.known_from_store = true;
    }
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_order_rights)

BOOST_AUTO_TEST_CASE(a_holder_whose_lease_stands_is_left_alone)
{
    const fleet_view fleet = view_of(0, 3);
    const holder_record holder{name_of(1), {"start"}, {5}, {}};
    const instant now(seconds(1000));
    BOOST_TEST(
        !should_claim(fleet, engine, &holder, std::nullopt, now - seconds(60), {}, now));
}

BOOST_AUTO_TEST_CASE(a_vanished_holder_has_time_to_come_back)
{
    const fleet_view fleet = view_of(0, 1);
    const holder_record holder{name_of(1), {"start"}, {5}, {}};
    const takeover_timing timing;
    const instant gone(seconds(1000));
    BOOST_TEST(!should_claim(fleet, engine, &holder, gone, gone, timing,
                             gone + timing.restart_grace - milliseconds(1)));
    BOOST_TEST(should_claim(fleet, engine, &holder, gone, gone, timing,
                            gone + timing.restart_grace + timing.delay_per_rank * 2));
}

BOOST_AUTO_TEST_CASE(a_restarted_daemon_takes_its_own_engines_back_at_once)
{
    const fleet_view fleet = view_of(0, 3);
    const holder_record holder{name_of(0), {"earlier start"}, {5}, {}};
    const instant now(seconds(1000));
    BOOST_TEST(should_claim(fleet, engine, &holder, std::nullopt, now, {}, now));
    const order_permission right = make_order_permission(6, false, now, {}, now);
    BOOST_TEST((right.valid_from == now));
}

BOOST_AUTO_TEST_CASE(a_successor_waits_until_the_earlier_holders_orders_are_old)
{
    const takeover_timing timing;
    const instant gone(seconds(1000));
    const order_permission right =
        make_order_permission(6, true, gone, timing, gone + timing.restart_grace);
    BOOST_TEST((right.valid_from == gone + timing.lease_time + timing.min_order_gap));
}

BOOST_AUTO_TEST_CASE(a_restart_before_its_right_was_valid_keeps_the_wait)
{
    const fleet_view fleet = view_of(0, 3);
    const holder_record holder{name_of(0), {"earlier start"}, {5}, name_of(1)};
    BOOST_TEST(previous_holder_for_claim(fleet, &holder, false).value ==
               name_of(1).value);
    BOOST_TEST(previous_holder_for_claim(fleet, &holder, true).value == name_of(0).value);
}

BOOST_AUTO_TEST_CASE(one_member_that_reaches_the_store_ends_an_attestation)
{
    fleet_view fleet = view_of(0, 3);
    const instant now(seconds(1000));
    for (auto& [id, member] : fleet.members)
    {
        member.last_message_at = now;
        member.store_silence = seconds(3);
    }
    BOOST_TEST(outage_confirmed_until(fleet, now).has_value());
    fleet.members[name_of(2)].store_silence = milliseconds(100);
    BOOST_TEST(!outage_confirmed_until(fleet, now).has_value());
    fleet.members[name_of(2)].store_silence = seconds(3);
    fleet.members[name_of(1)].last_message_at = now - seconds(1);
    BOOST_TEST(!outage_confirmed_until(fleet, now).has_value());
}

BOOST_AUTO_TEST_CASE(a_daemon_alone_attests_nothing)
{
    const fleet_view fleet = view_of(0, 1);
    BOOST_TEST(!outage_confirmed_until(fleet, instant(seconds(1000))).has_value());
}

namespace
{

// A store with one engine's holder and the members' leases, and daemons that lose the
// store, stand still and restart, in steps of 50 ms.
struct rights_model
{
    static constexpr int daemons = 4;
    static constexpr milliseconds step{50};

    struct daemon_state
    {
        fleet_view fleet;
        lease_validity authority;
        std::optional<order_permission> right;
        std::optional<instant> lease_until;
        // Counts its registrations, and what this daemon saw of the others'.
        int registrations = 0;
        std::map<int, int> seen_registrations;
        bool frozen = false;
        bool cut = false;
        // No message of a peer reaches it, nor one of its own a peer.
        bool isolated = false;
        instant reached_store{};
        int start = 0;
    };

    takeover_timing timing;
    lease_timing lease{milliseconds(2000), milliseconds(200)};
    instant now{seconds(1000)};
    std::vector<daemon_state> states;
    std::optional<holder_record> holder;
    std::uint64_t revision = 1;
    bool store_down = false;
    int last_orderer = -1;
    instant last_order{};

    rights_model()
    {
        for (int number = 0; number < daemons; ++number)
        {
            states.emplace_back();
            states.back().fleet = view_of(number, daemons);
        }
    }

    bool is_leased(int number) const
    {
        return states[static_cast<std::size_t>(number)].lease_until.has_value();
    }

    void end_leases()
    {
        if (store_down)
            return;
        for (int number = 0; number < daemons; ++number)
        {
            std::optional<instant>& until =
                states[static_cast<std::size_t>(number)].lease_until;
            if (until && *until < now)
                until.reset();
        }
    }

    void see_members(daemon_state& self)
    {
        for (int number = 0; number < daemons; ++number)
        {
            member_view& member = self.fleet.members[name_of(number)];
            if (is_leased(number))
            {
                member.leased = true;
                member.lease_ended_at.reset();
            }
            else if (!member.lease_ended_at ||
                     self.seen_registrations[number] !=
                         states[static_cast<std::size_t>(number)].registrations)
            {
                member.leased = false;
                member.lease_ended_at = now;
            }
            self.seen_registrations[number] =
                states[static_cast<std::size_t>(number)].registrations;
        }
    }

    // One renewal, and a claim where it is due.
    void reach_store(int number)
    {
        daemon_state& self = states[static_cast<std::size_t>(number)];
        see_members(self);
        if (now - self.reached_store > store_outage_threshold)
            restart_takeover_timers(self.fleet, now);
        const incarnation_id start{std::to_string(self.start)};
        const bool still_own =
            holder && holder->daemon == name_of(number) && holder->incarnation == start;
        if (!still_own)
            self.right.reset();
        self.reached_store = now;
        self.registrations += self.lease_until ? 0 : 1;
        self.lease_until = now + lease.time_to_live;
        confirm_lease(self.authority, now);
        if (still_own)
        {
            if (self.right && now >= self.right->valid_from)
                holder->previous = previous_holder_for_claim(self.fleet, &*holder, true);
            return;
        }
        std::optional<instant> vanished;
        if (holder)
            vanished = self.fleet.members[holder->daemon].lease_ended_at;
        if (!should_claim(self.fleet, engine, holder ? &*holder : nullptr, vanished,
                          instant(seconds(1000)), timing, now))
            return;
        const holder_record claimed{
            name_of(number),
            start,
            {++revision},
            previous_holder_for_claim(self.fleet, holder ? &*holder : nullptr, false)};
        holder = claimed;
        const std::optional<instant> seen =
            self.fleet.members[claimed.previous].lease_ended_at;
        self.right = make_order_permission(revision, is_taken_over(claimed),
                                           seen.value_or(now), timing, now);
    }

    // Messages between daemons, and what they say of the store.
    void hear_peers(int number)
    {
        daemon_state& self = states[static_cast<std::size_t>(number)];
        if (self.frozen || self.isolated)
            return;
        for (int other = 0; other < daemons; ++other)
        {
            const daemon_state& sender = states[static_cast<std::size_t>(other)];
            if (other == number || sender.frozen || sender.isolated)
                continue;
            member_view& member = self.fleet.members[name_of(other)];
            member.last_message_at = now;
            member.store_silence =
                std::chrono::duration_cast<milliseconds>(now - sender.reached_store);
        }
        const std::optional<instant> attested = outage_confirmed_until(self.fleet, now);
        if (attested)
            extend_during_outage(self.authority, lease, *attested, now);
    }

    void try_order(int number)
    {
        daemon_state& self = states[static_cast<std::size_t>(number)];
        if (self.frozen || !self.right ||
            !may_order(*self.right, self.authority, lease, now))
            return;
        const bool turn = last_orderer >= 0 && last_orderer != number;
        RC_ASSERT(!turn || now - last_order >= timing.min_order_gap);
        last_orderer = number;
        last_order = now;
    }

    void disturb()
    {
        const int number = *rc::gen::inRange(0, daemons);
        daemon_state& self = states[static_cast<std::size_t>(number)];
        switch (*rc::gen::inRange(0, 7))
        {
        case 0:
            self.frozen = !self.frozen;
            break;
        case 1:
            self.cut = !self.cut;
            break;
        case 2:
            store_down = !store_down;
            break;
        case 3:
            // A restart: a new start knows nothing, its lease runs on in the store.
            ++self.start;
            self.fleet = view_of(number, daemons);
            self.right.reset();
            self.authority = {};
            self.frozen = false;
            break;
        case 4:
            // The store takes a cut daemon's keys away at once.
            if (self.cut)
                self.lease_until.reset();
            break;
        case 5:
            self.isolated = !self.isolated;
            break;
        default:
            self.isolated = false;
            self.cut = false;
            self.frozen = false;
            store_down = false;
        }
    }

    void play(int steps)
    {
        for (int at = 0; at < steps; ++at)
        {
            now += step;
            if (*rc::gen::inRange(0, 12) == 0)
                disturb();
            end_leases();
            for (int number = 0; number < daemons; ++number)
            {
                daemon_state& self = states[static_cast<std::size_t>(number)];
                if (!self.frozen && !self.cut && !store_down && at % 9 == number)
                    reach_store(number);
            }
            for (int number = 0; number < daemons; ++number)
                hear_peers(number);
            for (int number = 0; number < daemons; ++number)
                try_order(number);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(two_daemons_never_order_one_engine_close_together)
{
    check_property("two daemons never order one engine close together",
                   []
                   {
                       rights_model model;
                       model.play(*rc::gen::inRange(100, 500));
                   });
}

BOOST_AUTO_TEST_SUITE_END()
