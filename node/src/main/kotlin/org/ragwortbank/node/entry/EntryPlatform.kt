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

/** Reads configuration, limit epoch and instances from the platform for an entry, and writes epoch proposals. */
internal class EntryPlatform(
    private val runtime: NodeRuntime,
    private val settings: PlatformSettings,
    private val post: (EntryInput) -> Unit,
) {
    private val configStore = ConfigStore(runtime.keyValueStore)
    private val epochStore = EpochStore(runtime.keyValueStore)
    private val instanceList = HttpInstanceList(runtime.httpClient, settings.instanceListAddress, settings.callTimeout)
    private val configReadRequests = Channel<Unit>(Channel.CONFLATED)
    private val epochReadRequests = Channel<Unit>(Channel.CONFLATED)

    /** Starts the periodic reads and the watch for changes. */
    fun start() {
        runtime.scope.launch { configReadRequests.consumeEach { fetchConfiguration() } }
        runtime.scope.launch { epochReadRequests.consumeEach { fetchEpoch() } }
        runtime.repeatWithDelay(settings.instanceListReadInterval) { readInstances() }
        runtime.repeatWithDelay(settings.epochReadInterval) { epochReadRequests.send(Unit) }
        runtime.repeatWithDelay(settings.configReadInterval) { configReadRequests.send(Unit) }
        watch()
    }

    /** Requests a read of the configuration; requests made during a read are merged into one. */
    fun requestConfigurationRead() {
        configReadRequests.trySend(Unit)
    }

    /** Requests a read of the limit epoch; requests made during a read are merged into one. */
    fun requestEpochRead() {
        epochReadRequests.trySend(Unit)
    }

    /** Proposes the next limit epoch and posts the epoch that is stored afterwards. */
    fun proposeEpoch(expected: LimitEpoch?, proposed: LimitEpoch) = runtime.scope.launch {
        val requestedAt = now()
        postEpoch(epochStore.propose(expected, proposed), requestedAt)
    }

    private suspend fun fetchConfiguration() {
        val read = configStore.read()
        runtime.metrics.recordPlatformCall(PlatformCall.READ_CONFIG, read is ConfigRead.Found)
        when (read) {
            is ConfigRead.Found -> post(EntryInput.ConfigurationRead(read.configuration))
            is ConfigRead.Unavailable -> Logs.platform.warn("configuration could not be read: {}", read.cause)
        }
    }

    private suspend fun fetchEpoch() {
        val requestedAt = now()
        postEpoch(epochStore.read(), requestedAt)
    }

    private fun postEpoch(read: EpochRead, requestedAt: Timestamp) {
        runtime.metrics.recordPlatformCall(PlatformCall.EPOCH, read is EpochRead.Found)
        when (read) {
            is EpochRead.Found -> post(EntryInput.EpochRead(read.epoch, requestedAt))
            is EpochRead.Unavailable -> Logs.platform.warn("limit epoch could not be read: {}", read.cause)
        }
    }

    private suspend fun readInstances() {
        val requestedAt = now()
        val listedInstances = instanceList.read()
        runtime.metrics.recordPlatformCall(PlatformCall.INSTANCES, listedInstances != null)
        if (listedInstances != null) post(EntryInput.InstancesRead(listedInstances, requestedAt))
    }

    private fun watch() {
        runtime.keyValueStore.watch(ConfigStore.WATCHED_PREFIX, StoreWatchListener())
    }

    private inner class StoreWatchListener : KvWatchListener {
        override fun onReady() {
            runtime.metrics.recordPlatformCall(PlatformCall.WATCH, isAnswered = true)
            requestConfigurationRead()
            requestEpochRead()
        }

        override fun onChange(key: String) {
            if (key == ConfigStore.ROOT_KEY) requestConfigurationRead() else requestEpochRead()
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
