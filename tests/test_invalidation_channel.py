"""JoinedChannels and the hashes that assign channels: they use all channels and tell volumes apart."""

from __future__ import annotations

import unittest

from pearhead.invalidation.channel import CHANNEL_COUNT, JoinedChannels, object_channel, volume_channel


class JoinedChannelsTest(unittest.TestCase):
    def test_channels_stay_in_range_and_volumes_differ_from_objects(self) -> None:
        channels = JoinedChannels()
        object_channels = {object_channel("tenant:a", "l", part) for part in range(2_000)}
        self.assertEqual(len(object_channels), CHANNEL_COUNT)
        self.assertTrue(channels.join(5))
        self.assertFalse(channels.join(5))
        self.assertEqual(len(channels.to_bytes()), CHANNEL_COUNT // 8)
        self.assertNotEqual(volume_channel("tenant:a", "l"), volume_channel("group:a", "l"))
