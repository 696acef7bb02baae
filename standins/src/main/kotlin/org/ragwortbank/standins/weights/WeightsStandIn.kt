package org.ragwortbank.standins.weights

import io.netty.channel.EventLoopGroup
import org.ragwortbank.clients.http.Address
import org.ragwortbank.standins.http.Responder
import org.ragwortbank.standins.http.StandInRequest
import org.ragwortbank.standins.http.StandInServer
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/**
 * Stands in for the weight store, in which every adapter exists. `/control/served` returns the number of completed
 * downloads.
 *
 * @property downloadTime duration of a download at full speed
 * @property fullSpeedDownloads concurrent downloads up to which each runs at full speed; beyond it, a new download
 * takes longer in proportion to their number
 */
class WeightsStandIn(
    group: EventLoopGroup,
    private val downloadTime: Duration,
    private val fullSpeedDownloads: Int,
) {
    private val server = StandInServer(group, ::handle)
    private val downloadsInFlight = AtomicInteger()
    private val completedDownloads = AtomicInteger()

    /** Listens on [port], or on a free port if [port] is 0, and returns the address. */
    fun start(port: Int): Address = server.start(port)

    private fun handle(request: StandInRequest, responder: Responder) {
        if (request.path == "/control/served") return responder.send(OK, completedDownloads.get().toString())
        val concurrentDownloads = downloadsInFlight.incrementAndGet()
        val slowdown = (concurrentDownloads.toDouble() / fullSpeedDownloads).coerceAtLeast(1.0)
        responder.schedule(downloadTime * slowdown) {
            downloadsInFlight.decrementAndGet()
            completedDownloads.incrementAndGet()
            responder.send(OK, "weights of ${request.path}", contentType = "application/octet-stream")
        }
    }

    private companion object {
        const val OK = 200
    }
}
