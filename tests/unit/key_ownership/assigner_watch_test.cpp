#include "key_ownership/assigner_watch.h"

#include <criterion/criterion.h>

#include <string>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr monotonic_time start{ 100s };

recorded_assigner assignerOf(std::uint64_t epoch)
{
    return { network_address("10.0.0.1:1"), epoch };
}

/** Runs @p watch until @p end and returns the number of questions, each of which gets @p answer. */
std::size_t run(assigner_watch &watch, std::uint64_t epoch, std::size_t instances, assigner_stop_answer answer, monotonic_time &now, monotonic_time end)
{
    std::size_t questions = 0;
    for (; now < end; now += 40ms) {
        watch.watch(assignerOf(epoch), instances, now);
        if (watch.takeDueQuestion(now)) {
            ++questions;
            watch.answered(assignerOf(epoch), answer, now);
        }
    }
    return questions;
}

} // namespace

// Guards against keys that nobody assigns after the assigner was killed, and against instances that take each pause for its end.
Test(assigner_watch, assigner_without_answers_is_lost)
{
    assigner_watch watch(instance_id("i"));
    monotonic_time now = start;
    run(watch, 1, 9, assigner_stop_answer::refused, now, start + 10s);
    cr_expect_not(watch.isLost(now));
    run(watch, 1, 9, assigner_stop_answer::unanswered, now, now + 1900ms);
    cr_expect_not(watch.isLost(now));
    run(watch, 1, 9, assigner_stop_answer::unanswered, now, now + 1200ms);
    cr_expect(watch.isLost(now));
    run(watch, 2, 9, assigner_stop_answer::refused, now, now + 1200ms);
    cr_expect_not(watch.isLost(now), "another assigner is known");
}

// Guards against a wait for the answers of a process that was started in place of the assigner.
Test(assigner_watch, restarted_assigner_is_lost_at_once)
{
    assigner_watch watch(instance_id("i"));
    monotonic_time now = start;
    run(watch, 1, 9, assigner_stop_answer::stopped, now, start + 1100ms);
    cr_expect(watch.isLost(now));
}

// Guards against hundreds of instances that load the assigner with questions.
Test(assigner_watch, questions_of_all_instances_are_bounded)
{
    std::size_t questions = 0;
    for (int i = 0; i < 200; ++i) {
        assigner_watch watch(instance_id("front-" + std::to_string(i)));
        monotonic_time now = start;
        questions += run(watch, 1, 200, assigner_stop_answer::refused, now, start + 20s);
    }
    cr_expect_leq(questions, 20U * 50U + 200U, "%zu questions in 20 s", questions);
}

// Guards against an election each few seconds, because an instance reaches no other instance.
Test(assigner_watch, repeated_losses_take_longer_each_time)
{
    assigner_watch watch(instance_id("i"));
    monotonic_time now = start;
    std::uint64_t epoch = 1;
    while (now < start + 60s) {
        run(watch, epoch, 9, assigner_stop_answer::unanswered, now, now + 40ms);
        epoch += watch.isLost(now) ? 1 : 0;
    }
    cr_expect_leq(epoch, 6U, "%lu losses in a minute", epoch - 1);
}
