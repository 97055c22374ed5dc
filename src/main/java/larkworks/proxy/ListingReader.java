package larkworks.proxy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses a JSON list of backends incrementally, as its parts arrive, so that a list of thousands of backends
 * is neither kept in memory as text nor parsed all at once, which would delay requests on the loop.
 */
final class ListingReader {

    /** Maximum backends in a list, more than any deployment has; a longer list is rejected. */
    static final int MAX_BACKENDS = 10_000;
    /** Maximum average size of a backend's JSON; real ones are far smaller, however they are indented. */
    private static final int MAX_BACKEND_BYTES = 2_048;
    private static final long MAX_LIST_BYTES = (long) MAX_BACKENDS * MAX_BACKEND_BYTES;
    /** Nesting depths of the JSON document, of the array of backends in it, and of a backend in that. */
    private static final int DOCUMENT_DEPTH = 1;
    private static final int LIST_DEPTH = 2;
    private static final int BACKEND_DEPTH = 3;

    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    /** Thrown if the text is not a valid list of backends. */
    static final class InvalidListException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidListException(String reason, Throwable cause) {
            super(reason, cause);
        }
    }

    private final List<String> zones;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private final List<Listing.Entry> entries = new ArrayList<>();
    private long bytesRead;
    private int depth;
    private boolean documentEnded;
    private boolean inEndpoints;
    private boolean endpointsFound;
    private Long index;
    private Boolean isFull;
    private Listing.EntryBuilder entryBuilder;

    /** Creates a reader of one list; {@code zones} are names of zones, a zone's position being its number. */
    ListingReader(List<String> zones) {
        this.zones = zones;
        try {
            parser = JSON_FACTORY.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Parses the next part of the text. The caller keeps the buffer and releases it.
     *
     * @throws InvalidListException if the text so far can't be the start of a valid list
     */
    void read(ByteBuf part) throws InvalidListException {
        bytesRead += part.readableBytes();
        if (bytesRead > MAX_LIST_BYTES) {
            throw new InvalidListException("list of more than " + MAX_LIST_BYTES + " bytes", null);
        }
        if (!part.isReadable()) {
            return;
        }
        try {
            byte[] text = ByteBufUtil.getBytes(part);
            feeder.feedInput(text, 0, text.length);
            readTokens();
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidListException(e.getMessage(), e);
        }
    }

    /**
     * Returns the list, after its last part was read.
     *
     * @throws InvalidListException if the text is truncated or not a valid list
     */
    Listing finish() throws InvalidListException {
        try {
            feeder.endOfInput();
            readTokens();
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidListException(e.getMessage(), e);
        }
        if (!documentEnded || index == null || isFull == null || !endpointsFound) {
            throw new InvalidListException("truncated, or without a number 'index', a boolean 'snapshot' or a"
                    + " list 'endpoints'", null);
        }
        return new Listing(index, isFull, entries);
    }

    private void readTokens() throws IOException {
        for (JsonToken token = parser.nextToken(); token != null && token != JsonToken.NOT_AVAILABLE;
                token = parser.nextToken()) {
            if (documentEnded || depth == 0 && token != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("a single JSON object is wanted, found " + token);
            }
            readToken(token);
        }
    }

    private void readToken(JsonToken token) throws IOException {
        if (token.isStructStart()) {
            depth++;
            beginStructure(token);
        } else if (token.isStructEnd()) {
            endStructure(token);
            depth--;
            documentEnded = depth == 0;
        } else if (token != JsonToken.FIELD_NAME) {
            readValue(token);
        }
    }

    private void beginStructure(JsonToken token) throws IOException {
        if (depth == LIST_DEPTH && token == JsonToken.START_ARRAY
                && "endpoints".equals(parser.currentName())) {
            inEndpoints = true;
            endpointsFound = true;
        } else if (depth == BACKEND_DEPTH && inEndpoints && token == JsonToken.START_OBJECT) {
            entryBuilder = new Listing.EntryBuilder(zones);
        } else if (depth == BACKEND_DEPTH && inEndpoints) {
            throw new IllegalArgumentException("endpoints: a list of JSON objects is wanted, found " + token);
        }
    }

    private void endStructure(JsonToken token) {
        if (depth == BACKEND_DEPTH && entryBuilder != null && token == JsonToken.END_OBJECT) {
            if (entries.size() == MAX_BACKENDS) {
                throw new IllegalArgumentException("list of more than " + MAX_BACKENDS + " backends");
            }
            entries.add(entryBuilder.build());
            entryBuilder = null;
        } else if (depth == LIST_DEPTH) {
            inEndpoints = false;
        }
    }

    private void readValue(JsonToken token) throws IOException {
        if (depth == DOCUMENT_DEPTH && token.isNumeric() && "index".equals(parser.currentName())) {
            index = parser.getNumberValue().longValue();
        } else if (depth == DOCUMENT_DEPTH && token.isBoolean() && "snapshot".equals(parser.currentName())) {
            isFull = parser.getBooleanValue();
        } else if (depth == BACKEND_DEPTH && entryBuilder != null) {
            entryBuilder.set(parser.currentName(), scalarValue(token));
        } else if (depth == LIST_DEPTH && inEndpoints) {
            throw new IllegalArgumentException("endpoints: a list of JSON objects is wanted, found " + token);
        }
    }

    private Object scalarValue(JsonToken token) throws IOException {
        if (token.isNumeric()) {
            return parser.getNumberValue();
        }
        return token == JsonToken.VALUE_NULL ? null : parser.getText();
    }
}
