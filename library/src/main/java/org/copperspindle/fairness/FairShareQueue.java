package org.copperspindle.fairness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Items that wait for a shared resource, served by weighted fair shares of their accounts (start-time fair queueing)
 * and in a given order within an account. An account is kept only while it has waiting items or has used more than its
 * share, so the memory is bounded by the waiting items and the items served since the others caught up.
 *
 * @param <T> type of the items
 */
public final class FairShareQueue<T> {

    private static final Comparator<Account<?>> BY_START_TAG =
            Comparator.comparingDouble((Account<?> account) -> account.startTag).thenComparing(account -> account.name);

    private final Comparator<Entry<T>> order;
    private final Map<String, Account<T>> accounts = new HashMap<>();
    private final TreeSet<Account<T>> waiting = new TreeSet<>(BY_START_TAG);
    private final TreeSet<Account<T>> idle = new TreeSet<>(BY_START_TAG);
    private double virtualTime;
    private long lastSequence;
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param order order within an account; equal items are served by age
     */
    public FairShareQueue(Comparator<? super T> order) {
        this.order =
                Comparator.comparing((Entry<T> entry) -> entry.item(), order).thenComparingLong(Entry::sequence);
    }

    /**
     * Adds an item.
     *
     * @param name   name of its account
     * @param weight share of the account relative to other accounts; above 0
     * @param cost   use of the resource by the item, in any unit that all items share
     * @param item   the item
     */
    public void add(String name, double weight, double cost, T item) {
        Account<T> account = accounts.computeIfAbsent(name, n -> new Account<>(n, order));
        account.weight = weight;
        if (account.entries.isEmpty()) {
            idle.remove(account);
            // An account that was idle starts at the current virtual time: idle time earns no later priority.
            account.startTag = Math.max(account.startTag, virtualTime);
            waiting.add(account);
        }
        account.entries.add(new Entry<>(item, cost, ++lastSequence));
        account.cost += cost;
        size++;
    }

    /**
     * Returns the item that is served next.
     *
     * @return the item; empty if none waits
     */
    public Optional<T> peek() {
        return peek(item -> true);
    }

    /**
     * Returns the item that is served next among the first items of the accounts.
     *
     * @param eligible returns whether an item can be served now
     * @return the first eligible item; empty if there is none
     */
    public Optional<T> peek(Predicate<? super T> eligible) {
        return waiting.stream()
                .map(account -> account.entries.first().item())
                .filter(eligible)
                .findFirst();
    }

    /**
     * Removes and returns the item that is served next, and charges its account.
     *
     * @return the item; empty if none waits
     */
    public Optional<T> poll() {
        Optional<T> next = peek();
        next.ifPresent(item -> serve(waiting.first().name, item));
        return next;
    }

    /**
     * Removes the first item of an account as served, and charges the account.
     *
     * @param name name of the account
     * @param item its first item
     */
    public void serve(String name, T item) {
        Account<T> account = accounts.get(name);
        if (account == null
                || account.entries.isEmpty()
                || !account.entries.first().item().equals(item)) {
            throw new IllegalArgumentException("item is not the first of account " + name);
        }
        waiting.remove(account);
        virtualTime = Math.max(virtualTime, account.startTag);
        Entry<T> entry = account.entries.first();
        account.startTag += entry.cost() / account.weight;
        drop(account, entry);
        reinsert(account);
    }

    /**
     * Removes items of an account that are not served; the account is not charged.
     *
     * @param name    name of the account
     * @param matches returns whether an item is removed
     * @return true if an item was removed
     */
    public boolean removeIf(String name, Predicate<? super T> matches) {
        Account<T> account = accounts.get(name);
        if (account == null) {
            return false;
        }
        List<Entry<T>> removed = account.entries.stream()
                .filter(entry -> matches.test(entry.item()))
                .toList();
        if (removed.isEmpty()) {
            return false;
        }
        waiting.remove(account);
        removed.forEach(entry -> drop(account, entry));
        reinsert(account);
        return true;
    }

    /**
     * Returns the number of waiting items.
     *
     * @return a count
     */
    public int size() {
        return size;
    }

    /**
     * Returns the number of accounts that are kept.
     *
     * @return a count
     */
    public int accountCount() {
        return accounts.size();
    }

    /**
     * Returns the cost that would be served before a new item that comes last in its account.
     *
     * @param name   name of its account
     * @param weight share of the account
     * @param cost   cost of the new item
     * @return cost of the items of all accounts before it
     */
    public double aheadOf(String name, double weight, double cost) {
        Account<T> own = accounts.get(name);
        double ahead = own == null ? 0 : own.cost;
        double used = ahead + cost;
        for (Account<T> account : waiting) {
            if (account != own) {
                ahead += Math.min(account.cost, used * account.weight / weight);
            }
        }
        return ahead;
    }

    /**
     * Returns all items in the order in which they would be served if no other items came.
     *
     * @return the items
     */
    public List<T> inOrder() {
        PriorityQueue<Turn<T>> turns = new PriorityQueue<>(
                Comparator.comparingDouble((Turn<T> turn) -> turn.startTag).thenComparing(turn -> turn.account.name));
        waiting.forEach(account -> turns.add(new Turn<>(account)));
        List<T> items = new ArrayList<>(size);
        while (!turns.isEmpty()) {
            Turn<T> turn = turns.poll();
            Entry<T> entry = turn.entries.next();
            items.add(entry.item());
            turn.startTag += entry.cost() / turn.account.weight;
            if (turn.entries.hasNext()) {
                turns.add(turn);
            }
        }
        return items;
    }

    private void drop(Account<T> account, Entry<T> entry) {
        account.entries.remove(entry);
        account.cost -= entry.cost();
        size--;
    }

    private void reinsert(Account<T> account) {
        if (account.entries.isEmpty()) {
            account.cost = 0;
            idle.add(account);
        } else {
            waiting.add(account);
        }
        if (waiting.isEmpty()) {
            // Nobody waited behind the accounts that used more than their share.
            virtualTime = Math.max(virtualTime, idle.last().startTag);
        }
        while (!idle.isEmpty() && idle.first().startTag <= virtualTime) {
            accounts.remove(idle.pollFirst().name);
        }
    }

    private record Entry<T>(T item, double cost, long sequence) {}

    /** An account with its waiting items; {@code cost} is their sum. */
    private static final class Account<T> {
        private final String name;
        private final TreeSet<Entry<T>> entries;
        private double weight = 1;
        private double startTag;
        private double cost;

        private Account(String name, Comparator<Entry<T>> order) {
            this.name = name;
            this.entries = new TreeSet<>(order);
        }
    }

    /** Position in an account while all items are listed in order. */
    private static final class Turn<T> {
        private final Account<T> account;
        private final Iterator<Entry<T>> entries;
        private double startTag;

        private Turn(Account<T> account) {
            this.account = account;
            this.entries = account.entries.iterator();
            this.startTag = account.startTag;
        }
    }
}
