package larkworks.cli;

import java.net.InetSocketAddress;
import larkworks.platform.Addresses;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** {@code IP:PORT} on the command line. */
final class AddressConverter implements ITypeConverter<InetSocketAddress> {

    @Override
    public InetSocketAddress convert(String text) {
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            throw new TypeConversionException(e.getMessage());
        }
    }
}
