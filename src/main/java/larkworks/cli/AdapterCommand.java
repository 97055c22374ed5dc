package larkworks.cli;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.util.concurrent.Callable;
import larkworks.adapter.Main;
import picocli.CommandLine.Command;

/** {@code larkworks adapter}. */
@Command(name = "adapter", description = "Decides for the instances named on standard input, one batch a "
        + "line; replies go to standard output.")
final class AdapterCommand extends Common implements Callable<Integer> {

    @Override
    public Integer call() {
        return Main.run(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out),
                System.err);
    }
}
