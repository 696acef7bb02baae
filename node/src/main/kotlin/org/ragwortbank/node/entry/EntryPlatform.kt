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
    private val configs = ConfigStore(runtime.keyValueStore)
    private val epochs = EpochStore(runtime.keyValueStore)
    private val instances = HttpInstanceList(runtime.httpClient, settings.instancesAddress, settings.callTimeout)
    private val configWanted = Channel<Unit>(Channel.CONFLATED)
    private val epochWanted = Channel<Unit>(Channel.CONFLATED)

    /** Begins to read. */
    fun start() {
        runtime.scope.launch { configWanted.consumeEach { readConfigurationNow() } }
        runtime.scope.launch { epochWanted.consumeEach { readEpochNow() } }
        runtime.repeatWithDelay(settings.instancesInterval) { readInstances() }
        runtime.repeatWithDelay(settings.epochInterval) { epochWanted.send(Unit) }
        runtime.repeatWithDelay(settings.configInterval) { configWanted.send(Unit) }
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
        runtime.metrics.called(PlatformCall.READ_CONFIG, read is ConfigRead.Found)
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
        runtime.metrics.called(PlatformCall.EPOCH, read is EpochRead.Found)
        when (read) {
            is EpochRead.Found -> post(EntryInput.EpochRead(read.epoch, askedAt))
            is EpochRead.Unavailable -> Logs.platform.warn("limit epoch can't be read: {}", read.cause)
        }
    }

    private suspend fun readInstances() {
        val askedAt = now()
        val list = instances.read()
        runtime.metrics.called(PlatformCall.INSTANCES, list != null)
        if (list != null) post(EntryInput.InstancesRead(list, askedAt))
    }

    private fun watch() {
        runtime.keyValueStore.watch(ConfigStore.LIVE_PREFIX, Watch())
    }

    private inner class Watch : KvWatchListener {
        override fun onReady() {
            runtime.metrics.called(PlatformCall.WATCH, answered = true)
            readConfiguration()
            readEpoch()
        }

        override fun onChange(key: String) {
            if (key == ConfigStore.ROOT_KEY) readConfiguration() else readEpoch()
        }

        override fun onLost(cause: String) {
            runtime.metrics.called(PlatformCall.WATCH, answered = false)
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
