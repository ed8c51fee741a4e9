/**
 * What a relay remembers of its partners from one start to the next, and how far that is believed: ages, evidence,
 * lists
 * that discovery tells on its return, what is written and when. It decides, and reaches no socket, file, clock or
 * thread.
 *
 * <p>May use: the types of the decision module.
 */
package loftflow.warmstart;
