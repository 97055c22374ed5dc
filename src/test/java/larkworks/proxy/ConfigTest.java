package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how addresses in the configuration and in discovery's lists are parsed. */
class ConfigTest {

    @ParameterizedTest
    @CsvSource({"127.0.0.1:9000, 127.0.0.1, 9000", "[::1]:80, 0:0:0:0:0:0:0:1, 80"})
    void readsAnIpAddressAndAPort(String text, String host, int port) {
        assertEquals(host, Config.address(text).getAddress().getHostAddress());
        assertEquals(port, Config.address(text).getPort());
    }

    /** Many parsers accept short forms of IP addresses, and take any other text for a host name. */
    @ParameterizedTest
    @ValueSource(strings = {"1.2.3:9000", "2130706433:9000", "1.2.3.4.:9000", "[1.2.3.4]:9000",
        "localhost:9000", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", ":9000", "null"})
    void rejectsAnyOtherTextAsAnAddress(String text) {
        assertThrows(IllegalArgumentException.class, () -> Config.address(text));
    }
}
