import java.io.IOException;
import java.nio.file.Path;

/** What all cases have in common: their arguments, their record and how they end. */
abstract class Case {

    /** The exit codes that the review asks for. */
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int COULD_NOT_RUN = 2;
    /** A case that has not ended by then is ended as one that could not run. */
    private static final long LONGEST_MS = 116_000;

    /** Whether the disruption takes place; it does unless TROUBLE is 0. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path root;
    Record record;

    /** Runs the case and returns how often the rule was broken. */
    abstract int run() throws IOException, InterruptedException;

    /**
     * Runs the case, prints the result and ends this process.
     *
     * @param arguments the root of the repository and the case's folder
     */
    final void runAndExit(String[] arguments) throws IOException {
        root = Path.of(arguments[0]);
        record = new Record(Path.of(arguments[1], "record.txt"));
        record.note(trouble ? "with the disruption" : "without the disruption");
        Record.thread("longest", () -> {
            Record.sleep(LONGEST_MS);
            record.note("the case took too long");
            System.exit(COULD_NOT_RUN);
        });
        int code;
        String result;
        try {
            int breaks = run();
            code = breaks == 0 ? HELD : BROKEN;
            result = breaks == 0 ? "the rule held" : "the rule was broken " + breaks + " times";
        } catch (IOException | InterruptedException | RuntimeException e) {
            code = COULD_NOT_RUN;
            result = "the case could not run: " + e;
        }
        record.note(result);
        System.out.println(result);
        System.exit(code);
    }
}
