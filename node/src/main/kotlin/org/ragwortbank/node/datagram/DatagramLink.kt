package org.ragwortbank.node.datagram

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import io.netty.util.NetUtil
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.node.log.Logs
import java.net.InetSocketAddress

/**
 * Sends digests to other processes and receives theirs.
 *
 * Digests are sent as datagrams: each holds the complete state, so the next one makes up for a lost one, and there is
 * no connection that could stall unnoticed.
 */
class DatagramLink(
    private val group: EventLoopGroup,
    private val onDigest: (ReceivedDigest, Endpoint) -> Unit,
) {
    private lateinit var channel: Channel

    /** Listens at [endpoint], on a free port if its port is 0, and returns the endpoint bound. */
    fun open(endpoint: Endpoint): Endpoint {
        channel = Bootstrap()
            .group(group)
            .channel(NioDatagramChannel::class.java)
            .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(Receiver())
            .bind(endpoint.host, endpoint.port)
            .sync()
            .channel()
        return Endpoint(endpoint.host, (channel.localAddress() as InetSocketAddress).port)
    }

    /**
     * Sends [bytes] to [destination], whose host is an IP address, because a lookup of a name would block. A failure is
     * only logged, since the next digest replaces this one.
     */
    fun send(destination: Endpoint, bytes: ByteArray) {
        val host = NetUtil.createInetAddressFromIpAddressString(destination.host)
        if (host == null) {
            Logs.links.debug("digest to {} not sent: no IP address", destination)
            return
        }
        val address = InetSocketAddress(host, destination.port)
        channel.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), address)).addListener { write ->
            if (!write.isSuccess) Logs.links.debug("digest to {} not sent: {}", destination, write.cause()?.message)
        }
    }

    /** Sends [bytes] to each of [destinations]. */
    fun sendAll(destinations: List<Endpoint>, bytes: ByteArray) = destinations.forEach { send(it, bytes) }

    /** Stops listening. */
    fun close() {
        channel.close()
    }

    private companion object {
        /** What arrives beyond it is cut off. */
        const val MAX_DATAGRAM_BYTES = 16_384
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) {
            val senderAddress = packet.sender()
            val sender = Endpoint(senderAddress.address.hostAddress, senderAddress.port)
            val digest = DigestCodec.decode(ByteBufUtil.getBytes(packet.content()))
            if (digest is ReceivedDigest.Malformed) {
                Logs.links.warn("malformed datagram from {}: {}", sender, digest.cause)
            }
            onDigest(digest, sender)
        }

        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            Logs.links.warn("error on the datagram socket: {}", cause.message)
        }
    }
}
