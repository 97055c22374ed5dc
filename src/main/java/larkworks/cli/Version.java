package larkworks.cli;

import picocli.CommandLine.IVersionProvider;

/** The version that the jar's manifest tells. */
final class Version implements IVersionProvider {

    @Override
    public String[] getVersion() {
        String built = Larkworks.class.getPackage().getImplementationVersion();
        return new String[] {"larkworks " + (built == null ? "(not from a jar)" : built)};
    }
}
