"""The replicated log: one leader a term, what is agreed stays, and planted faults are found."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapistrestle.agreement.raft import Member, Role
from lapistrestle.agreement.words import (
    Append,
    Appended,
    AskVote,
    Commit,
    Disk,
    Entry,
    Read,
    Save,
    Send,
    Vote,
)
from lapistrestle.standins.council import Council, Weather

SECOND = 10_000
ROUGH = Weather(loss=0.1, kills=0.8, cuts=0.6, stalls=0.4)
THREE = ["a", "b", "c"]


@pytest.fixture
def one():
    return Member("a", THREE, Disk(), {}, 1, 0)


def said(effects, kind):
    return [(e.to, e.message) for e in effects if isinstance(e, Send) and isinstance(e.message, kind)]


def leading(one, now=2 * SECOND):
    one.tick(now)
    one.heard("b", Vote(1, True, True), now)
    one.heard("b", Vote(1, True, False), now)
    assert one.role is Role.LEADER
    return one


# one member


def test_no_term_is_raised_before_a_majority_would_vote(one):
    effects = one.tick(2 * SECOND)
    assert one.term == 0 and [m for _, m in said(effects, AskVote)] == [AskVote(1, 0, 0, True)] * 2
    effects = one.heard("c", Vote(1, True, True), 2 * SECOND)
    assert effects[0] == Save(1, "a") and said(effects, AskVote)[0][1] == AskVote(1, 0, 0, False)


def test_a_vote_is_on_disk_before_it_is_said_and_given_once(one):
    effects = one.heard("b", AskVote(3, 0, 0, False), 0)
    assert effects.index(Save(3, "b")) < effects.index(Send("b", Vote(3, True, False)))
    assert said(one.heard("c", AskVote(3, 9, 3, False), 0), Vote) == [("c", Vote(3, False, False))]


def test_one_with_a_longer_log_gives_no_vote(one):
    one.entries = [Entry(2, "x")]
    assert said(one.heard("b", AskVote(3, 5, 1, False), 0), Vote) == [("b", Vote(3, False, False))]
    assert said(one.heard("c", AskVote(4, 1, 2, False), 0), Vote) == [("c", Vote(4, True, False))]


def test_a_pre_vote_is_refused_while_a_leader_is_heard(one):
    one.heard("b", Append(1, 0, 0, (), 0, 1), 0)
    assert said(one.heard("c", AskVote(2, 0, 0, True), 100), Vote) == [("c", Vote(1, False, True))]
    later = 2 * SECOND
    assert said(one.heard("c", AskVote(2, 0, 0, True), later), Vote) == [("c", Vote(2, True, True))]


def test_a_late_word_cuts_nothing_off_that_came_after_it(one):
    one.heard("b", Append(1, 0, 0, (Entry(1, "x"), Entry(1, "y")), 0, 1), 0)
    effects = one.heard("b", Append(1, 0, 0, (Entry(1, "x"),), 0, 1), 10)
    assert one.last == 2 and not any(isinstance(e, Save) for e in effects)


def test_what_differs_is_replaced_on_disk_before_it_is_answered(one):
    one.heard("b", Append(1, 0, 0, (Entry(1, "x"), Entry(1, "y")), 1, 1), 0)
    effects = one.heard("c", Append(2, 1, 1, (Entry(2, "z"),), 1, 1), 10)
    save = Save(2, "", 2, (Entry(2, "z"),))
    assert effects.index(save) < effects.index(Send("c", Appended(2, True, 2, 1)))
    assert one.entries == [Entry(1, "x"), Entry(2, "z")]


def test_entries_of_an_earlier_term_are_agreed_by_what_follows_them_only(one):
    one.entries = [Entry(1, "x")]
    one.term = 1
    one.tick(2 * SECOND)
    one.heard("b", Vote(2, True, True), 2 * SECOND)
    one.heard("b", Vote(2, True, False), 2 * SECOND)
    assert not any(isinstance(e, Commit) for e in one.heard("b", Appended(2, True, 1, 1), 2 * SECOND))
    told = [e for e in one.heard("b", Appended(2, True, 2, 1), 2 * SECOND) if isinstance(e, Commit)]
    assert told == [Commit(1, Entry(1, "x")), Commit(2, Entry(2, None))]


def test_a_read_waits_for_a_majority_that_answers_after_it_was_asked(one):
    now = 2 * SECOND
    leading(one).heard("b", Appended(1, True, 1, 1), now)
    before = one.round
    assert not any(isinstance(e, Read) for e in one.read("r", now))
    assert not any(isinstance(e, Read) for e in one.heard("c", Appended(1, True, 1, before), now))
    assert Read("r", 1) in one.heard("c", Appended(1, True, 1, before + 1), now)


def test_a_leader_that_hears_no_majority_leads_no_more_and_says_so_to_reads(one):
    now = 2 * SECOND
    leading(one, now)
    one.read("r", now)
    effects = one.tick(now + 3 * SECOND)
    assert one.role is Role.FOLLOWER and Read("r", None) in effects


def test_who_does_not_lead_takes_no_command_and_answers_no_read(one):
    assert one.propose("x", 0) == (None, []) and one.read("r", 0) == [Read("r", None)]


def test_one_far_behind_is_led_back_in_few_words_and_caught_up_in_batches(one):
    one.facts = {**one.facts, "batch": 10}
    one.entries, one.term = [Entry(1, i) for i in range(95)], 1
    one.tick(2 * SECOND)
    one.heard("b", Vote(2, True, True), 2 * SECOND)
    one.heard("b", Vote(2, True, False), 2 * SECOND)
    other, words = Member("b", THREE, Disk(1), {}, 2, 0), 0
    queue = said(one.tick(2 * SECOND + 1_000), Append)
    while queue and words < 40:
        to, word = queue.pop(0)
        if to == "b":
            words += 1
            for _, answer in said(other.heard("a", word, 3 * SECOND), Appended):
                queue += said(one.heard("b", answer, 3 * SECOND), Append)
    assert other.entries == one.entries and words <= 14


def test_words_of_one_that_is_no_member_are_passed_over(one):
    assert one.heard("x", AskVote(9, 9, 9, False), 0) == [] and one.term == 0


# councils


@pytest.mark.parametrize("count", [1, 2, 3, 5])
def test_a_calm_council_has_one_leader_and_agrees_on_all(count):
    made = Council(count, 1, Weather(0, 0, 0, kills=0, cuts=0, stalls=0))
    made.day(6)
    assert len(made.leading()) == 1 and not made.book.breaches
    assert len(made.book.agreed) > 5 and made.done_reads > 5
    assert made.kills == 0 and len({made.members[n].term for n in made.names}) == 1


@pytest.mark.parametrize("seed", range(60))
def test_rough_days_break_nothing_and_all_agree_when_they_are_over(seed):
    made = Council(3 + 2 * (seed % 2), seed, ROUGH)
    made.day(20)
    assert made.book.breaches == [] and made.kills > 5
    made.calm(8)
    assert made.book.breaches == [] and len(made.leading()) == 1
    logs = [made.members[name].entries[: made.book.acknowledged] for name in made.names]
    assert all(log == logs[0] for log in logs) and len(logs[0]) == made.book.acknowledged


@given(st.integers(0, 10**6), st.integers(2, 5), st.integers(0, 4), st.integers(0, 3))
@settings(max_examples=40, deadline=None)
def test_whatever_the_weather_nothing_agreed_differs_or_vanishes(seed, count, loss, kills):
    sky = Weather(loss=loss / 10, doubled=0.2, late=0.2, kills=kills, cuts=1.0, stalls=1.0)
    made = Council(count, seed, sky)
    made.day(6)
    assert made.book.breaches == []


def test_the_same_day_twice_is_the_same():
    first, second = Council(5, 7, ROUGH), Council(5, 7, ROUGH)
    for made in (first, second):
        made.day(15)
    assert first.book == second.book and first.disks == second.disks


# planted faults


class VotesInMemory(Member):
    """Its vote is not on disk when it says it."""

    def save(self, since=0, entries=()):
        self.out.append(Save(self.term, "", since, tuple(entries)))


class CountsCopies(Member):
    """Takes an entry of an earlier term for agreed once a majority has it."""

    def settle(self):
        matches = sorted([*self.match.values(), self.last], reverse=True)
        self.agree(matches[len(matches) // 2])
        super().settle()


class ReadsAtOnce(Member):
    """Answers reads as long as it thinks that it leads."""

    def read(self, tag, now):
        return [Read(tag, self.commit if self.role is Role.LEADER else None)]


class AnswersFirst(Member):
    """Says that it has entries before they are on disk."""

    def done(self):
        out = super().done()
        return [*(e for e in out if not isinstance(e, Save)), *(e for e in out if isinstance(e, Save))]


class CutsOff(Member):
    """A late word cuts off what came after it."""

    def on_append(self, sender, word, now):
        if word.term >= self.term and word.prev <= self.last and self.term_at(word.prev) == word.prev_term:
            del self.entries[word.prev :]
            self.save(word.prev + 1)
        super().on_append(sender, word, now)


HEARD_BY = {CutsOff: CutsOff.on_append}


@pytest.mark.parametrize("fault", [VotesInMemory, CountsCopies, ReadsAtOnce, AnswersFirst, CutsOff])
def test_a_planted_fault_is_found(fault, monkeypatch):
    from lapistrestle.agreement import raft

    if fault in HEARD_BY:
        monkeypatch.setitem(raft.HEARD, Append, HEARD_BY[fault])
    assert any(broken(seed, fault) for seed in range(400))


def broken(seed, make):
    """A council that chooses leaders all the time, and loses them as often."""
    sky = Weather(loss=0.1, kills=6, cuts=4, stalls=2, late=0.1, slow=600, asks=100, back=(1, 300))
    made = Council(3 + 2 * (seed % 2), seed, sky, make, {"patience": 300, "beat": 80, "batch": 1})
    made.day(6)
    return made.book.breaches


def test_the_same_days_break_nothing_without_a_fault():
    assert not any(broken(seed, Member) for seed in range(40))


def test_a_member_that_returns_with_an_empty_disk_under_its_old_name_is_found():
    def lost(seed):
        made = Council(3, seed, Weather(kills=0, cuts=1.0, stalls=1.0))
        made.again(1.5, lambda: made.kill(made.random.choice(made.names), disk=False))
        made.day(12)
        return made.book.breaches

    assert any(lost(seed) for seed in range(200))
