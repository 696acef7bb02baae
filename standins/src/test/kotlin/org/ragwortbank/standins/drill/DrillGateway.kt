package org.ragwortbank.standins.drill

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.clients.http.Address
import org.ragwortbank.standins.fleet.ChildProcess
import org.ragwortbank.standins.fleet.Launcher
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The machine with the index [machine], on which gateway processes run one after another. */
class DrillGateway(private val launcher: Launcher, private val machine: Int, private val storeAddress: Address) {
    private val current = AtomicReference<Incarnation?>(null)

    private val restarts = AtomicReference<PersistentList<Disturbance>>(persistentListOf())

    /** The spans from the end of a process until the next one had started. */
    val disturbances: PersistentList<Disturbance> get() = restarts.get()

    /** The process that was started last. */
    val incarnation: Incarnation? get() = current.get()

    /** Starts a process and waits until it accepts callers. */
    fun start() {
        val number = (incarnation?.number ?: 0) + 1
        val settings = launcher.writeSettings(
            "gateway-$machine.toml",
            "name = \"gateway-$machine\"\nstore_address = \"$storeAddress\"\n",
        )
        val process = launcher.startInstance("gateway-$machine-$number", "gateway", settings)
        current.set(Incarnation(number, process))
    }

    /** Ends the process, by SIGKILL if [isKilled] and else by SIGTERM, and waits until it has ended. */
    fun end(isKilled: Boolean) {
        val process = incarnation?.process ?: return
        if (isKilled) process.kill() else process.terminate()
        if (process.awaitExit(STOP_TIMEOUT) == null) process.kill()
    }

    /** Ends the process and starts another [downtime] after its end. */
    fun restart(isKilled: Boolean, downtime: Duration, now: () -> Duration) {
        val endedAt = now()
        end(isKilled)
        Thread.sleep(downtime.inWholeMilliseconds)
        start()
        val restart = Disturbance(machine, endedAt, now())
        restarts.updateAndGet { it.add(restart) }
    }

    /** Lines of the logs of this machine's processes that name [requestId]. */
    fun logLines(requestId: String): List<String> =
        (1..(incarnation?.number ?: 0)).flatMap { number ->
            val log = launcher.directory.resolve("gateway-$machine-$number-output.log").toFile()
            log.readLines().filter { "$requestId " in it || "$requestId:" in it }
        }

    /** A gateway process. */
    class Incarnation(val number: Int, val process: ChildProcess) {
        /** Address at which it accepts callers. */
        val address: Address = process.address("http")
    }

    private companion object {
        val STOP_TIMEOUT = 12.seconds
    }
}
