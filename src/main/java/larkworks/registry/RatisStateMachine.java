package larkworks.registry;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import larkworks.platform.SteadyClock;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftGroupMemberId;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.MD5FileUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The list's state machine as Apache Ratis drives it. The engine's threads call here; all that touches the
 * list is handed to the owner's event loop, in the order of the log. An entry is the leader's time (8 bytes,
 * Unix milliseconds) and a JSON list of commands.
 */
final class RatisStateMachine extends BaseStateMachine {

    private static final Logger LOG = LoggerFactory.getLogger("registry");

    private final EventLoop loop;
    private final ReplicaOwner owner;
    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();

    RatisStateMachine(EventLoop loop, ReplicaOwner owner) {
        this.loop = loop;
        this.owner = owner;
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        getLifeCycle().startAndTransition(() -> {
            super.initialize(server, group, raftStorage);
            storage.init(raftStorage);
            load();
        }, IOException.class);
    }

    @Override
    public void pause() {
        getLifeCycle().transition(LifeCycle.State.PAUSING);
        getLifeCycle().transition(LifeCycle.State.PAUSED);
    }

    /** Takes up a snapshot that came from the leader. */
    @Override
    public void reinitialize() throws IOException {
        load();
        LOG.atInfo().addKeyValue("entry", getLastAppliedTermIndex().getIndex())
                .log("snapshot of the leader taken up");
        if (getLifeCycleState() == LifeCycle.State.PAUSED) {
            getLifeCycle().transition(LifeCycle.State.STARTING);
            getLifeCycle().transition(LifeCycle.State.RUNNING);
        }
    }

    private void load() throws IOException {
        SingleFileSnapshotInfo latest = storage.loadLatestSnapshot();
        if (latest == null) {
            return;
        }
        ListStateMachine.Image image = ReplicaSnapshot.read(latest.getFile().getPath());
        onLoop(() -> {
            owner.restore(image);
            return null;
        });
        setLastAppliedTermIndex(latest.getTermIndex());
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    /** Called with all entries up to the last one applied. */
    @Override
    public long takeSnapshot() throws IOException {
        TermIndex last = getLastAppliedTermIndex();
        Path file = storage.getSnapshotFile(last.getTerm(), last.getIndex()).toPath();
        Folders.replace(file, ReplicaSnapshot.bytes(onLoop(owner::image)));
        MD5Hash digest = MD5FileUtil.computeAndSaveMd5ForFile(file.toFile());
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file, digest), last.getTerm(),
                last.getIndex()));
        return last.getIndex();
    }

    private <T> T onLoop(Supplier<T> call) throws IOException {
        try {
            return loop.submit(call::get).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    /** At the leader alone: the time by which all replicas judge is its. */
    @Override
    public TransactionContext startTransaction(RaftClientRequest request) {
        ByteString commands = request.getMessage().getContent();
        ByteBuffer entry = ByteBuffer.allocate(Long.BYTES + commands.size());
        entry.putLong(SteadyClock.nowMs()).put(commands.asReadOnlyByteBuffer());
        return TransactionContext.newBuilder().setStateMachine(this).setClientRequest(request)
                .setLogData(ByteString.copyFrom(entry.flip())).build();
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto entry = transaction.getLogEntry();
        long term = entry.getTerm();
        byte[] data = entry.getStateMachineLogEntry().getLogData().toByteArray();
        updateLastAppliedTermIndex(term, entry.getIndex());
        Command[] commands = read(Arrays.copyOfRange(data, Long.BYTES, data.length), Command[].class);
        long nowMs = ByteBuffer.wrap(data).getLong();
        return answered(() -> owner.apply(Arrays.asList(commands), nowMs, term));
    }

    @Override
    public CompletableFuture<Message> query(Message request) {
        LeaderQuery[] queries = read(request.getContent().toByteArray(), LeaderQuery[].class);
        return answered(() -> owner.query(Arrays.asList(queries)));
    }

    /** What was written here can be read here. */
    private static <T> T read(byte[] json, Class<T> kind) {
        try {
            return Words.record(json, kind);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private CompletableFuture<Message> answered(Supplier<Object> call) {
        CompletableFuture<Message> answer = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                answer.complete(Message.valueOf(ByteString.copyFrom(Words.bytes(call.get()))));
            } catch (RuntimeException e) {
                answer.completeExceptionally(e);
            }
        });
        return answer;
    }

    @Override
    public void notifyLeaderReady() {
        try {
            long term = getServer().join().getDivision(getGroupId()).getInfo().getCurrentTerm();
            loop.execute(() -> owner.lead(term));
        } catch (IOException e) {
            throw new UncheckedIOException(e);  // the group that notifies is there
        }
    }

    /** It has stepped down, and perhaps nobody leads yet. */
    @Override
    public void notifyNotLeader(Collection<TransactionContext> pending) {
        loop.execute(owner::follow);
    }

    @Override
    public void notifyLogFailed(Throwable cause, LogEntryProto entry) {
        loop.execute(() -> owner.logFailed(cause));
    }

    @Override
    public void notifyLeaderChanged(RaftGroupMemberId member, RaftPeerId leader) {
        if (!member.getPeerId().equals(leader)) {
            loop.execute(owner::follow);
        }
    }
}
