package larkworks.scale;

/**
 * What one number of servers costs, in processor time of one thread, really measured; the module's clock is
 * simulated.
 *
 * @param usPerCall of the module for a call: the request, its attempt's outcome, timers due
 * @param usPerChange of the module for word of one server
 * @param usPerWholeList of the module for the whole list
 * @param parseUs to read the whole list from discovery's JSON
 * @param listBytes of that JSON
 */
public record CostResult(String time, int servers, double usPerCall, double usPerChange,
        double usPerWholeList, double parseUs, long listBytes) { }
