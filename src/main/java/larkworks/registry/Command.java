package larkworks.registry;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import larkworks.rollout.Conflict;
import larkworks.rollout.Plan;
import larkworks.rollout.RolloutState;
import larkworks.rollout.Rollouts;

/** A write as a caller asks for it; what it makes of the list is for the {@link Registrar} to say. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Command.Register.class, name = "register"),
    @JsonSubTypes.Type(value = Command.SetStatus.class, name = "set_status"),
    @JsonSubTypes.Type(value = Command.Publish.class, name = "publish"),
    @JsonSubTypes.Type(value = Command.Steer.class, name = "steer"),
    @JsonSubTypes.Type(value = Command.Heartbeat.class, name = "heartbeat"),
    @JsonSubTypes.Type(value = Command.ResumeAdmission.class, name = "resume_admission"),
    @JsonSubTypes.Type(value = Decision.Lead.class, name = "lead"),
    @JsonSubTypes.Type(value = Decision.Expire.class, name = "expire"),
    @JsonSubTypes.Type(value = Decision.Ramp.class, name = "ramp"),
    @JsonSubTypes.Type(value = Decision.StepRollout.class, name = "step_rollout"),
})
sealed interface Command permits Command.Register, Command.SetStatus, Command.Heartbeat,
        Command.ResumeAdmission, Command.Publish, Command.Steer, Decision {

    /** A rollout's state fits one record of the log, with its index. */
    int MOST_STATE = Frames.MOST - 256;

    /**
     * Grants what is asked.
     *
     * @param nowMs Unix time in milliseconds
     * @return the changes that it makes; none where all is as asked already
     * @throws Refusal where it can't be granted; nothing has changed
     */
    List<Change> grant(Registrar registrar, long nowMs) throws Refusal;

    /** Registers an instance. */
    record Register(String name, Registration registration) implements Command {
        @Override
        public List<Change> grant(Registrar registrar, long nowMs) throws Refusal {
            return listed(registrar.register(name, registration, nowMs));
        }
    }

    /** Sets an instance's status. */
    record SetStatus(String name, Status status) implements Command {
        @Override
        public List<Change> grant(Registrar registrar, long nowMs) throws Refusal {
            return listed(registrar.setStatus(name, status));
        }
    }

    /** A heartbeat of an instance whose lease has ended: it is in service again. */
    record Heartbeat(String name) implements Command {
        @Override
        public List<Change> grant(Registrar registrar, long nowMs) throws Refusal {
            return listed(registrar.heartbeat(name));
        }
    }

    /** Lets the servers that were taken out with their stage of admission wait anew. */
    record ResumeAdmission() implements Command {
        @Override
        public List<Change> grant(Registrar registrar, long nowMs) {
            return registrar.resumeAdmission();
        }
    }

    /** Publishes a rollout. */
    record Publish(Plan plan) implements Command {
        @Override
        public List<Change> grant(Registrar registrar, long nowMs) throws Refusal {
            return step(registrar,
                    () -> Rollouts.publish(registrar.rollout(), plan, registrar.nextIndex(), nowMs));
        }
    }

    /** An operator's command to the rollout: {@code pause}, {@code resume} or {@code rollback}. */
    record Steer(String command) implements Command {
        @Override
        public List<Change> grant(Registrar registrar, long nowMs) throws Refusal {
            return step(registrar, () -> Rollouts.command(registrar.rollout(), command, nowMs));
        }
    }

    /** A step of the rollout that an operator asks for. */
    interface Step {
        /** The state that follows. */
        RolloutState next() throws Conflict;
    }

    private static List<Change> listed(Change change) {
        return change == null ? List.of() : List.of(change);
    }

    private static List<Change> step(Registrar registrar, Step step) throws Refusal {
        try {
            RolloutState next = step.next();
            if (Words.bytes(next).length > MOST_STATE) {
                throw new Refusal(413, "the plan and what came before are larger than " + MOST_STATE
                        + " bytes");
            }
            return List.of(registrar.rollOut(next));
        } catch (Conflict e) {
            throw new Refusal(409, e.getMessage());
        }
    }
}
