package larkworks.registry;

/**
 * One change of the list, and one record of the log.
 *
 * @param index the list's version that it makes
 * @param instance the instance as it is from then on
 */
public record Change(long index, Instance instance) { }
