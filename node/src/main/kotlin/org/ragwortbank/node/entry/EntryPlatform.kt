package org.ragwortbank.node.entry

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.ragwortbank.clients.config.ConfigRead
import org.ragwortbank.clients.config.ConfigStore
import org.ragwortbank.clients.instances.HttpInstanceList
import org.ragwortbank.clients.kv.KvWatchListener
import org.ragwortbank.clients.limits.EpochRead
import org.ragwortbank.clients.limits.EpochStore
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.node.NodeRuntime
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.metrics.PlatformCall
import org.ragwortbank.node.now
import org.ragwortbank.node.settings.PlatformSettings
import kotlin.time.Duration.Companion.milliseconds

/** Reads for an entry what the platform holds, and writes what the entry decides. */
internal class EntryPlatform(
    private val runtime: NodeRuntime,
    private val settings: PlatformSettings,
    private val post: (EntryInput) -> Unit,
) {
    private val configs = ConfigStore(runtime.store)
    private val epochs = EpochStore(runtime.store)
    private val instances = HttpInstanceList(runtime.client, settings.instanceListAddress, settings.callTimeout)
    private val configWanted = Channel<Unit>(Channel.CONFLATED)
    private val epochWanted = Channel<Unit>(Channel.CONFLATED)

    /** Begins to read. */
    fun start() {
        runtime.scope.launch { configWanted.consumeEach { readConfigurationNow() } }
        runtime.scope.launch { epochWanted.consumeEach { readEpochNow() } }
        runtime.every(settings.instanceListReadInterval) { readInstances() }
        runtime.every(settings.epochReadInterval) { epochWanted.send(Unit) }
        runtime.every(settings.configReadInterval) { configWanted.send(Unit) }
        watch()
    }

    /** Reads the operators' tables soon. */
    fun readConfiguration() {
        configWanted.trySend(Unit)
    }

    /** Reads the limit epoch soon. */
    fun readEpoch() {
        epochWanted.trySend(Unit)
    }

    /** Proposes the next limit epoch and reads what then stands. */
    fun propose(expected: LimitEpoch?, proposed: LimitEpoch) = runtime.scope.launch {
        val askedAt = now()
        report(epochs.propose(expected, proposed), askedAt)
    }

    private suspend fun readConfigurationNow() {
        val read = configs.read()
        runtime.metrics.recordPlatformCall(PlatformCall.READ_CONFIG, read is ConfigRead.Found)
        when (read) {
            is ConfigRead.Found -> post(EntryInput.ConfigurationRead(read.configuration))
            is ConfigRead.Unavailable -> Logs.platform.warn("operators' tables can't be read: {}", read.cause)
        }
    }

    private suspend fun readEpochNow() {
        val askedAt = now()
        report(epochs.read(), askedAt)
    }

    private fun report(read: EpochRead, askedAt: Timestamp) {
        runtime.metrics.recordPlatformCall(PlatformCall.EPOCH, read is EpochRead.Found)
        when (read) {
            is EpochRead.Found -> post(EntryInput.EpochRead(read.epoch, askedAt))
            is EpochRead.Unavailable -> Logs.platform.warn("limit epoch can't be read: {}", read.cause)
        }
    }

    private suspend fun readInstances() {
        val askedAt = now()
        val list = instances.read()
        runtime.metrics.recordPlatformCall(PlatformCall.INSTANCES, list != null)
        if (list != null) post(EntryInput.InstancesRead(list, askedAt))
    }

    private fun watch() {
        runtime.store.watch(ConfigStore.WATCHED_PREFIX, Watch())
    }

    private inner class Watch : KvWatchListener {
        override fun onReady() {
            runtime.metrics.recordPlatformCall(PlatformCall.WATCH, isAnswered = true)
            readConfiguration()
            readEpoch()
        }

        override fun onChange(key: String) {
            if (key == ConfigStore.ROOT_KEY) readConfiguration() else readEpoch()
        }

        override fun onLost(cause: String) {
            runtime.metrics.recordPlatformCall(PlatformCall.WATCH, isAnswered = false)
            runtime.scope.launch {
                delay(WATCH_RETRY_DELAY)
                watch()
            }
        }
    }

    private companion object {
        val WATCH_RETRY_DELAY = 500.milliseconds
    }
}
