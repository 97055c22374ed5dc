package larkworks.registry;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import larkworks.platform.Addresses;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.proto.RaftProtos.CommitInfoProto;
import org.apache.ratis.proto.RaftProtos.RoleInfoProto;
import org.apache.ratis.proto.RaftProtos.ServerRpcProto;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.retry.RetryPolicy;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.DivisionInfo;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachine;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/** This replica's part of the consensus engine: its server, and clients of the group. */
final class RaftNode implements Closeable {

    /** A client's attempt that is not answered for so long is made anew, perhaps at another replica. */
    private static final int ATTEMPT_MS = 1_000;
    private static final long MOST_PREALLOCATED = 256 << 10;
    /** A process that was stopped for long comes back as a follower that is behind. */
    private static final int MOST_PAUSE_DAYS = 1;
    /** Below the group's directory: where the engine keeps the log. */
    private static final String CURRENT = "current";

    private static final RaftGroupId GROUP = RaftGroupId.valueOf(UUID.nameUUIDFromBytes(
            "larkworks registry".getBytes(StandardCharsets.US_ASCII)));

    /** The replicas as the settings have them; the log may have others since. */
    private final RaftGroup group;
    private final RaftProperties properties = new RaftProperties();
    private final RaftServer server;

    /** @param data a directory that is the engine's own */
    RaftNode(ReplicaSettings settings, Path data, StateMachine machine) throws IOException {
        Map<String, String> addresses = new LinkedHashMap<>();
        settings.addresses().forEach((id, address) -> addresses.put(id, Addresses.text(address)));
        group = RaftGroup.valueOf(GROUP, peers(addresses));
        configure(settings, data);
        LogCheck.mend(data.resolve(GROUP.getUuid().toString()).resolve(CURRENT),
                RaftServerConfigKeys.Log.Appender.bufferByteLimit(properties).getSize());
        server = RaftServer.newBuilder().setServerId(RaftPeerId.valueOf(settings.id()))
                .setGroup(settings.join() ? RaftGroup.valueOf(GROUP) : group)
                .setProperties(properties).setStateMachine(machine)
                .setOption(RaftStorage.StartupOption.RECOVER).build();
        server.start();
    }

    private static List<RaftPeer> peers(Map<String, String> addresses) {
        List<RaftPeer> peers = new ArrayList<>();
        addresses.forEach((id, address) ->
                peers.add(RaftPeer.newBuilder().setId(id).setAddress(address).build()));
        return peers;
    }

    private void configure(ReplicaSettings settings, Path data) {
        RaftConfigKeys.Rpc.setType(properties, SupportedRpcType.GRPC);
        GrpcConfigKeys.Server.setHost(properties, settings.listen().getHostString());
        GrpcConfigKeys.Server.setPort(properties, settings.listen().getPort());
        RaftClientConfigKeys.Rpc.setRequestTimeout(properties, millis(ATTEMPT_MS));
        RaftServerConfigKeys.setStorageDir(properties, List.of(data.toFile()));
        RaftServerConfigKeys.setCloseThreshold(properties,
                TimeDuration.valueOf(MOST_PAUSE_DAYS, TimeUnit.DAYS));
        TimeDuration least = millis(settings.electionMs());
        TimeDuration most = millis(2 * settings.electionMs());
        RaftServerConfigKeys.Rpc.setTimeoutMin(properties, least);
        RaftServerConfigKeys.Rpc.setTimeoutMax(properties, most);
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(properties, least);
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(properties, most);
        RaftServerConfigKeys.Read.setOption(properties, RaftServerConfigKeys.Read.Option.LINEARIZABLE);
        RaftServerConfigKeys.Read.setLeaderLeaseEnabled(properties, true);
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf(settings.segmentBytes()));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties,
                SizeInBytes.valueOf(Math.min(MOST_PREALLOCATED, settings.segmentBytes())));
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
        RaftServerConfigKeys.Log.setPurgeGap(properties, 1);
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, settings.snapshotEntries());
        RaftServerConfigKeys.Snapshot.setCreationGap(properties, settings.snapshotEntries());
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, 2);
    }

    private static TimeDuration millis(long ms) {
        return TimeDuration.valueOf(ms, TimeUnit.MILLISECONDS);
    }

    /** A client of the group, to be closed by its owner. */
    RaftClient client(RetryPolicy retries) {
        return RaftClient.newBuilder().setProperties(properties).setRaftGroup(group).setRetryPolicy(retries)
                .build();
    }

    /** Tells a client of the replicas there are now. */
    void refresh(RaftClient client) throws IOException {
        client.getClientRpc().addRaftPeers(division().getRaftConf().getCurrentPeers());
    }

    /** The ids of the replicas there are now. */
    Set<String> members() throws IOException {
        Set<String> ids = new TreeSet<>();
        division().getRaftConf().getCurrentPeers().forEach(peer -> ids.add(peer.getId().toString()));
        return ids;
    }

    /**
     * Has the group consist of these from now on, which have to come to the state of the others first.
     *
     * @param mostMs it is given up after so long
     */
    void setMembers(Map<String, String> addresses, long mostMs) throws IOException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        try (RaftClient client = client(event -> System.nanoTime() - deadline >= 0
                ? RetryPolicy.NO_RETRY_ACTION : () -> millis(ATTEMPT_MS))) {
            refresh(client);
            RaftClientReply reply = client.admin().setConfiguration(peers(addresses));
            if (!reply.isSuccess()) {
                throw new IOException(String.valueOf(reply.getException()));
            }
        }
    }

    /** The leader as far as is known here; null where none is. */
    RaftPeerId leader() throws IOException {
        return info().getLeaderId();
    }

    private RaftServer.Division division() throws IOException {
        return server.getDivision(group.getGroupId());
    }

    private DivisionInfo info() throws IOException {
        return division().getInfo();
    }

    /**
     * How long ago all that is applied here was all that a leader had committed, by a leader's word; negative
     * where that can't be said now. At the leader: how long ago a majority last answered it.
     */
    long heardMs() throws IOException {
        RoleInfoProto role = info().getRoleInfoProto();
        if (info().isLeaderReady()) {
            List<Long> others = role.getLeaderInfo().getFollowerInfoList().stream()
                    .map(ServerRpcProto::getLastRpcElapsedTimeMs).sorted().toList();
            int needed = (others.size() + 1) / 2;
            return needed == 0 ? 0 : others.get(needed - 1);
        }
        boolean heard = info().isFollower() && info().getLeaderId() != null;
        long committed = division().getCommitInfos().stream().mapToLong(CommitInfoProto::getCommitIndex)
                .max().orElse(0);
        return heard && info().getLastAppliedIndex() >= committed
                ? role.getFollowerInfo().getLeaderInfo().getLastRpcElapsedTimeMs() : -1;
    }

    /** Figures for the operator. */
    Map<String, Object> figures() throws IOException {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("replica", server.getId().toString());
        figures.put("role", info().getCurrentRole().name().toLowerCase(java.util.Locale.ROOT));
        figures.put("leader", leader() == null ? "" : leader().toString());
        figures.put("term", info().getCurrentTerm());
        figures.put("applied", info().getLastAppliedIndex());
        figures.put("replicas", members());
        return figures;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
