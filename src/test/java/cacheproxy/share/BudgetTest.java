package cacheproxy.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Budgets in virtual time: many proxies, late and lost messages, cuts, pauses, restarts and clocks
 * of different pace.
 */
class BudgetTest {

    private record Item(double at, long order, Runnable act) implements Comparable<Item> {
        @Override
        public int compareTo(Item o) {
            return at != o.at ? Double.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private static final class Town {
        final Random random;
        final PriorityQueue<Item> agenda = new PriorityQueue<>();
        final List<String> names;
        final Budget[] budgets;
        final double[] pace;
        final double[] stoppedUntil;
        final int[] lives;
        final int budget;
        final List<Double> uses = new ArrayList<>();
        IntToDoubleFunction demand = i -> 0;
        BiPredicate<Integer, Integer> cut = (a, b) -> false;
        double loss;
        int asked;
        double now;
        long order;

        Town(int proxies, int budget, long seed) {
            this.random = new Random(seed);
            this.budget = budget;
            names = IntStream.range(0, proxies).mapToObj(i -> "p" + i).toList();
            budgets = new Budget[proxies];
            pace =
                    IntStream.range(0, proxies)
                            .mapToDouble(i -> 0.96 + 0.08 * random.nextDouble())
                            .toArray();
            stoppedUntil = new double[proxies];
            lives = new int[proxies];
            IntStream.range(0, proxies).forEach(this::start);
        }

        void in(double ms, Runnable act) {
            agenda.add(new Item(now + ms, order++, act));
        }

        double clock(int i) {
            return 1e6 * i + now * pace[i];
        }

        void start(int i) {
            int life = ++lives[i];
            budgets[i] =
                    new Budget(
                            names.get(i),
                            Budget.split(budget, names.size(), i),
                            clock(i),
                            random.nextLong());
            in(random.nextDouble() * 50, () -> tick(i, life));
            in(random.nextDouble() * 50, () -> arrive(i, life));
        }

        private void tick(int i, int life) {
            if (lives[i] == life) {
                if (now >= stoppedUntil[i]) {
                    budgets[i].tick(
                            clock(i),
                            names,
                            (to, m) -> carry(i, Integer.parseInt(to.substring(1)), m));
                }
                in(50, () -> tick(i, life));
            }
        }

        private void arrive(int i, int life) {
            if (lives[i] == life) {
                double rate = demand.applyAsDouble(i);
                if (rate > 0 && now >= stoppedUntil[i]) {
                    asked++;
                    if (budgets[i].take(clock(i))) {
                        uses.add(now);
                    }
                }
                in(
                        rate > 0 ? -Math.log(1 - random.nextDouble()) / rate * 1000 : 50,
                        () -> arrive(i, life));
            }
        }

        private void carry(int from, int to, Budget.Message m) {
            if (!cut.test(from, to) && random.nextDouble() >= loss) {
                in(
                        3
                                + 7 * random.nextDouble()
                                + (random.nextDouble() < loss ? 600 * random.nextDouble() : 0),
                        () -> deliver(from, to, m));
            }
        }

        private void deliver(int from, int to, Budget.Message m) {
            if (now < stoppedUntil[to]) {
                in(stoppedUntil[to] - now, () -> deliver(from, to, m));
            } else {
                budgets[to].received(
                        clock(to), names.get(from), m, (back, answer) -> carry(to, from, answer));
            }
        }

        void runFor(double ms) {
            double end = now + ms;
            while (!agenda.isEmpty() && agenda.peek().at() <= end) {
                Item next = agenda.remove();
                now = next.at();
                next.act().run();
            }
            now = end;
        }

        /** The most uses in any second, sliding. */
        int most() {
            int most = 0;
            for (int i = 0, j = 0; i < uses.size(); i++) {
                while (uses.get(i) - uses.get(j) >= 999.999 * 0.96) {
                    j++;
                }
                most = Math.max(most, i - j + 1);
            }
            return most;
        }

        double usedShare(double from) {
            return uses.stream().filter(t -> t >= from).count() * 1000.0 / (now - from) / budget;
        }
    }

    /**
     * Clocks run up to 4% slow or fast: by such a proxy's own, a window is that much longer or
     * shorter than a second.
     */
    private static void neverOver(Town town, String day) {
        assertTrue(
                town.most() <= town.budget,
                day + ": " + town.most() + " uses in a second, the budget is " + town.budget);
    }

    private static void usesMost(Town town, double ms, String when) {
        double from = town.now;
        town.runFor(ms);
        assertTrue(town.usedShare(from) >= 0.8, when + " used " + town.usedShare(from));
    }

    private static Budget.Give asks(Budget lender, double now, long seq, int wants) {
        Budget.Message[] answer = new Budget.Message[1];
        lender.received(now, "y", new Budget.Ask(seq, wants), (to, m) -> answer[0] = m);
        return (Budget.Give) answer[0];
    }

    private static int takes(Budget budget, double now, int tries) {
        return (int) IntStream.range(0, tries).filter(i -> budget.take(now)).count();
    }

    @Test
    void aRightThatWasUsedIsNotLentForAWindowNorUsedAgainBeforeTheBorrowersLastUseIsAWindowAgo() {
        Budget x = new Budget("x", 10, 0, 1);
        double now = 10_000;
        assertEquals(10, takes(x, now, 12));
        assertEquals(0, asks(x, now + 1, 1, 10).amount(), "all were used just now");
        now += 20_000;
        assertEquals(10, asks(x, now, 2, 10).amount());
        assertEquals(
                0,
                x.share(now + Budget.LEASE_MS + Budget.WINDOW_MS),
                "the borrower may have used them at the end of its lease");
        assertEquals(10, x.share(now + Budget.LENT_MS));
        now += 20_000;
        assertEquals(10, asks(x, now, 3, 10).amount());
        assertEquals(2, asks(x, now + 100, 4, 2).amount());
        assertEquals(0, x.share(now + 200), "the answer may be lost, and the ten still held");
        assertEquals(8, x.share(now + Budget.LENT_MS + 1));
        assertEquals(
                0,
                takes(new Budget("x", 10, now, 1), now + Budget.LENT_MS - 1, 1),
                "a new process owns nothing that an old one may have lent");
    }

    @Test
    void aHealthyFleetUsesItsBudgetWhereverTheDemandIs() {
        Town town = new Town(14, 280, 1);
        // Three proxies want all of it; later three others.
        town.demand = i -> i < 3 ? 120 : 2;
        town.runFor(6000);
        usesMost(town, 10_000, "healthy");
        town.demand = i -> i >= 11 ? 120 : 2;
        town.runFor(6000);
        usesMost(town, 10_000, "6 s after the demand moved");
        neverOver(town, "demand that moves");
    }

    @Test
    void halvesThatHearNothingOfOneAnotherStayWithinTheBudgetTogether() {
        Town town = new Town(14, 280, 2);
        town.demand = i -> i % 7 < 2 ? 150 : 1;
        town.runFor(6000);
        town.cut = (a, b) -> a < 7 != b < 7;
        town.runFor(60_000);
        town.cut = (a, b) -> false;
        town.runFor(2000);
        usesMost(town, 8000, "2 s after the heal");
        neverOver(town, "7 and 7");
    }

    @Test
    void oneThatIsCutOffFallsBackToItsOwnAndOneThatSleptUsesNoOldLoan() {
        Town town = new Town(10, 100, 3);
        town.demand = i -> i == 0 ? 90 : 0;
        town.runFor(6000);
        assertTrue(town.budgets[0].share(town.clock(0)) > 50);
        town.cut = (a, b) -> a == 0 || b == 0;
        town.runFor(Budget.LEASE_MS / 0.96);
        assertEquals(10, town.budgets[0].share(town.clock(0)), "within a lease");
        town.cut = (a, b) -> false;
        town.runFor(4000);
        assertTrue(town.budgets[0].borrows(town.clock(0)));
        town.stoppedUntil[0] = town.now + 1500;
        town.runFor(1500);
        assertEquals(10, town.budgets[0].share(town.clock(0)), "on waking");
        neverOver(town, "cut off and paused");
    }

    @Test
    void allThatRestartAtOnceStayWithinTheBudgetFromTheFirstSecondOn() {
        Town town = new Town(14, 140, 4);
        town.demand = i -> i < 4 ? 60 : 5;
        for (int round = 0; round < 5; round++) {
            town.runFor(5000 + 700 * round);
            IntStream.range(0, 14).forEach(town::start);
        }
        town.runFor(5000);
        neverOver(town, "all restart");
    }

    /**
     * Faults at random moments, with fewer rights than proxies as well; {@code -Dbudget.seeds=50
     * -Dbudget.proxies=300} plays more.
     */
    @Test
    void onDrawnDaysTheSumNeverExceedsTheBudget() {
        int only = Integer.getInteger("budget.proxies", 0);
        for (int seed = 1; seed <= Integer.getInteger("budget.seeds", 6); seed++) {
            Random random = new Random(seed);
            int proxies = only > 0 ? only : new int[] {5, 14, 60}[seed % 3];
            Town town = new Town(proxies, (int) (proxies * (0.3 + 8 * random.nextDouble())), seed);
            double per = 2.0 * town.budget / proxies;
            for (int step = 0; step < 12; step++) {
                int hot = random.nextInt(proxies);
                int width = 1 + random.nextInt(proxies);
                town.demand = i -> Math.abs(i - hot) < width ? per : per / 20;
                town.loss = random.nextInt(3) == 0 ? 0.3 : 0;
                int split = random.nextInt(proxies + 1);
                int way = random.nextInt(4);
                town.cut =
                        way == 0
                                ? (a, b) -> a < split != b < split
                                : way == 1
                                        ? (a, b) -> a == hot
                                        : way == 2 ? (a, b) -> b == hot : (a, b) -> false;
                for (int i = 0; i < proxies; i++) {
                    if (random.nextInt(8) == 0) {
                        town.stoppedUntil[i] = town.now + random.nextDouble() * 3000;
                    } else if (random.nextInt(12) == 0) {
                        town.start(i);
                    }
                }
                town.runFor(300 + random.nextDouble() * 2500);
            }
            assertTrue(!town.uses.isEmpty(), "seed " + seed);
            neverOver(town, "seed " + seed);
        }
    }
}
